import { ServiceSettings } from "./serviceSettings";
import { TenantDirectory } from "./tenantDirectory";
import { WorkClass } from "./workClass";

/** One version of the configuration that operators set. */
export interface RoutingConfiguration {
    readonly version: number;
    readonly classes: ReadonlyMap<string, WorkClass>;
    readonly services: ReadonlyMap<string, ServiceSettings>;
    /** Time in milliseconds after which an idle transaction may be rolled back. */
    readonly transactionIdleMs: number;
    /** Undefined if the configuration names no tenants: callers are then not authenticated. */
    readonly tenants?: TenantDirectory;
    /** Databases that callers may use without a key. */
    readonly publicDatabases?: ReadonlySet<string>;
    /** Number of tenants that were left out because their entries are unusable, for the log. */
    readonly unusableTenants?: number;
}
