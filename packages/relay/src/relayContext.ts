import { Clock } from "@vanillarouter/base/clock";
import { EntryMetrics } from "@vanillarouter/session/entry/entryMetrics";
import { DecisionLog } from "@vanillarouter/session/observability/decisionLog";
import { RelayGateways } from "./relayGateways";

/** Services shared by all operations that an entry VM relays to gateways. */
export interface RelayContext {
    readonly clock: Clock;
    readonly gateways: RelayGateways;
    readonly decisions: DecisionLog;
    readonly metrics: EntryMetrics;
}
