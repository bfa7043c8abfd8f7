import { describeChoice } from "./describeChoice";
import { Target } from "./target";

/** Returns the log fields for the upstream that ran an operation and for the evidence that it was fresh enough at `startedAt`. */
export function describeTarget(target: Target, startedAt: number): Readonly<Record<string, unknown>> {
    return {
        upstream: target.pool.upstream.id,
        role: target.primaryTerm === undefined ? "replica" : "primary",
        term: target.primaryTerm,
        floor: target.floor === undefined ? undefined : `${target.floor.term}.${target.floor.position}`,
        floorAgeMs: target.floorCoversUntil === undefined ? undefined : Math.round(startedAt - target.floorCoversUntil),
        proofAgeMs: target.verifiedAt === undefined ? undefined : Math.round(startedAt - target.verifiedAt.at),
        ...(target.choice === undefined ? {} : describeChoice(target.choice)),
    };
}
