import { GroupCondition } from "./groupCondition";

/** Condition of a group as a candidate determines it from the statuses of the reachable upstreams. */
export interface GroupAssessment {
    readonly condition: GroupCondition;
    /** Highest term that a reachable upstream has accepted. */
    readonly term: number;
    /** Primary of that term, whether healthy or lost. */
    readonly primary?: string;
    readonly reachable: number;
    /** Reachable upstreams that do not follow the primary of the term. Only filled for a healthy group. */
    readonly nonFollowers: readonly string[];
    /** Milliseconds since any of the replicas that have lost the primary was last in contact with it. 0 unless the primary is lost. */
    readonly silenceMs: number;
}
