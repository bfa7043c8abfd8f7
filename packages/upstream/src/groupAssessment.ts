import { GroupCondition } from "./groupCondition";

/** What a candidate concludes from the states of the upstreams that answer. */
export interface GroupAssessment {
    readonly condition: GroupCondition;
    /** Highest accepted term seen. */
    readonly term: number;
    /** Primary of that term, healthy or lost. */
    readonly primary?: string;
    readonly reachable: number;
    /** Upstreams that answer and do not follow the primary of the term; for a healthy group. */
    readonly strays: readonly string[];
    /** Shortest time since a replica heard the primary, in milliseconds; for a lost primary. */
    readonly silenceMs: number;
}
