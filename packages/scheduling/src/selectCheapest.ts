import { UpstreamCandidate } from "./upstreamCandidate";

/** Returns the candidate with the lowest cost among those of the highest tier; undefined only if there are no candidates. */
export function selectCheapest<T extends UpstreamCandidate>(candidates: readonly T[], computeCost: (candidate: T) => number): T | undefined {
    let best: T | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    for (const candidate of candidates) {
        const cost = computeCost(candidate);
        if (best !== undefined && (candidate.tier > best.tier || (candidate.tier === best.tier && cost >= bestCost))) continue;
        best = candidate;
        bestCost = cost;
    }
    return best;
}
