import { Clock } from "@vanillarouter/base/clock";
import { DecisionLog } from "../observability/decisionLog";
import { EntryMetrics } from "./entryMetrics";
import { TargetFinder } from "./targetFinder";
import { WriteConfirmer } from "./writeConfirmer";

/** Dependencies shared by the statements and transactions of a VM. */
export interface EntryContext {
    readonly clock: Clock;
    readonly targets: TargetFinder;
    readonly confirmer: WriteConfirmer;
    readonly decisions: DecisionLog;
    readonly metrics: EntryMetrics;
}
