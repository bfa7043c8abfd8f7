import { FailoverGap } from "./failoverGap";
import { ServiceCount } from "./serviceCount";

/** What a run gave. */
export interface ScenarioResult {
    readonly services: ReadonlyMap<string, ServiceCount>;
    readonly eligibleReads: number;
    readonly replicaReads: number;
    readonly gaps: readonly FailoverGap[];
    readonly lost: number;
    readonly doubled: number;
    readonly mixed: number;
    readonly refusedButRan: number;
    readonly ownWriteMissed: number;
    readonly tooOld: number;
}
