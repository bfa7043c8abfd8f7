import { ServiceSettings } from "./serviceSettings";
import { WorkClass } from "./workClass";

/** One version of the operators' configuration. */
export interface RoutingConfiguration {
    readonly version: number;
    readonly classes: ReadonlyMap<string, WorkClass>;
    readonly services: ReadonlyMap<string, ServiceSettings>;
    /** An idle transaction may be ended after this time in milliseconds. */
    readonly transactionIdleMs: number;
}
