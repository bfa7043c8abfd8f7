import { Operation } from "@vanillarouter/base/operation";
import { Admission } from "../model/admission";
import { AdmissionControl } from "../model/admissionControl";
import { RoutingConfiguration } from "../model/routingConfiguration";
import { dividePartLimit } from "./dividePartLimit";
import { QuotaContext } from "./quotaContext";
import { TenantAdmission } from "./tenantAdmission";

const admissionsMetric = "vanillarouter_quota_admissions_total";
/** Refusals of all tenants are logged together at most once in this time. */
const refusalLogIntervalMs = 1_000;

/** Admits operations within the limits of their tenants, which hold over all VMs together. No keeper is asked for a tenant without one. */
export class QuotaAdmission implements AdmissionControl {
    private readonly tenants = new Map<string, TenantAdmission>();
    private configuration: RoutingConfiguration | undefined;
    private refusedCount = 0;
    private refusalsLoggedAt = Number.NEGATIVE_INFINITY;

    private constructor(private readonly context: QuotaContext) {}

    public static create(context: QuotaContext): QuotaAdmission {
        return new QuotaAdmission(context);
    }

    public *admit(tenant: string): Operation<Admission> {
        this.dropRemovedTenants();
        const limit = dividePartLimit(this.configuration?.tenants?.find(tenant));
        if (limit === undefined) return { isAdmitted: true, retryDelayMs: 0 };
        let admission = this.tenants.get(tenant);
        if (admission === undefined) {
            admission = TenantAdmission.create(this.context, tenant, limit.parts);
            this.tenants.set(tenant, admission);
        }
        const result = yield* admission.admit(limit.parts);
        this.context.counters.add(admissionsMetric, `outcome="${result.isAdmitted ? "admitted" : "refused"}"`);
        if (!result.isAdmitted) this.logRefusal(tenant, result.retryDelayMs);
        return result;
    }

    private dropRemovedTenants(): void {
        const { configuration } = this.context.cluster;
        if (configuration === this.configuration) return;
        this.configuration = configuration;
        for (const tenant of [...this.tenants.keys()]) {
            if (dividePartLimit(configuration?.tenants?.find(tenant)) === undefined) this.tenants.delete(tenant);
        }
    }

    private logRefusal(tenant: string, retryMs: number): void {
        this.refusedCount++;
        const now = this.context.clock.now();
        if (now - this.refusalsLoggedAt < refusalLogIntervalMs) return;
        this.context.log.info({ tenant, retryMs, refused: this.refusedCount }, "quota.refused");
        this.refusalsLoggedAt = now;
        this.refusedCount = 0;
    }
}
