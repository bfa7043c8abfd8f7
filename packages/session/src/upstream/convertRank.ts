import { Rank } from "@vanillarouter/base/rank";

const ranks = [Rank.Urgent, Rank.Standard, Rank.Background] as const;

/** Converts the rank of a class of work, with 0 for the most urgent, to a rank of the scheduler. */
export function convertRank(rank: number): Rank {
    return ranks[Math.min(Math.max(0, Math.floor(rank)), ranks.length - 1)]!;
}
