import { Clock } from "@vanillarouter/base/clock";
import { ConfigurationSource } from "@vanillarouter/base/configurationSource";
import { CounterMetrics } from "@vanillarouter/base/counterMetrics";
import * as bunyan from "bunyan";
import { CallerLimits } from "./callerLimits";
import { SessionFactory } from "./sessionFactory";

/** Services shared by all caller connections of a VM. */
export interface CallerServices {
    readonly configuration: ConfigurationSource;
    readonly sessionFactory: SessionFactory;
    readonly clock: Clock;
    readonly logger: bunyan;
    readonly counters: CounterMetrics;
    readonly limits: CallerLimits;
}
