import { Tenant } from "../model/tenant";
import { PartLimit } from "./partLimit";
import { QuotaLimits } from "./quotaLimits";

/** Added to the capacity of each part, because one part may be empty while others are full. With rounding, 8 parts add less than 16 operations. */
const spareCapacity = 1;

/** Divides a tenant's limit into equal parts; undefined for a tenant without one. */
export function dividePartLimit(tenant: Tenant | undefined): PartLimit | undefined {
    const { ratePerSecond, burst } = tenant ?? {};
    if (ratePerSecond === undefined || burst === undefined) return undefined;
    const rate = Math.max(0, ratePerSecond);
    const wanted = Math.floor(Math.min(rate, burst) / QuotaLimits.operationsPerPart);
    const parts = Math.min(QuotaLimits.maxParts, Math.max(QuotaLimits.minParts, wanted));
    return { parts, ratePerSecond: rate / parts, capacity: Math.ceil(Math.max(0, burst) / parts) + spareCapacity };
}
