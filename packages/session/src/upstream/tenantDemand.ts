import { DecayingRate } from "@vanillarouter/scheduling/decayingRate";

/** Time constant of the measured rates. Covers several operations of a tenant with an operation in two seconds. */
const timeConstantMs = 10_000;
/** Rates below this, per millisecond, are forgotten: less than one operation in ten minutes. */
const negligibleRate = 1 / 600_000;

/**
 * Measures how often a tenant needs its first, second, ... connection at the same time. The rate of the last one says how often a
 * connection would have to be opened again if one were closed. Callers without a tenant count as one more tenant.
 */
export class TenantDemand {
    private readonly ratesByTenant = new Map<string | undefined, DecayingRate[]>();

    private constructor() {}

    public static create(): TenantDemand {
        return new TenantDemand();
    }

    /** Records at the local time `now` that a tenant takes its `depth`-th connection, counted from 1. */
    public record(tenant: string | undefined, depth: number, now: number): void {
        let rates = this.ratesByTenant.get(tenant);
        if (rates === undefined) {
            rates = [];
            this.ratesByTenant.set(tenant, rates);
        }
        while (rates.length < depth) rates.push(DecayingRate.create(timeConstantMs, now));
        rates[depth - 1]!.add(1, now);
    }

    /** Returns how often per millisecond the tenant takes its `depth`-th connection. */
    public read(tenant: string | undefined, depth: number, now: number): number {
        return this.ratesByTenant.get(tenant)?.[depth - 1]?.read(now) ?? 0;
    }

    /** Forgets tenants that have taken no connection for long. */
    public removeUnused(now: number): void {
        for (const [tenant, rates] of this.ratesByTenant) {
            if (rates.every(rate => rate.read(now) < negligibleRate)) this.ratesByTenant.delete(tenant);
        }
    }
}
