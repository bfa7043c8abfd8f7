import { computeExpectedCost } from "../computeExpectedCost";
import { UpstreamCandidate } from "../upstreamCandidate";

/**
 * Returns the candidates of the highest tier, without those for which a candidate with a smaller preference penalty has a lower cost. So
 * an upstream in another zone, or the primary, is among them only if the preferred ones are busier by the difference of the penalties.
 */
export function selectPreferred<T extends UpstreamCandidate>(candidates: readonly T[]): readonly T[] {
    const costs = new Map<T, number>();
    for (const candidate of candidates) costs.set(candidate, computeExpectedCost(candidate));
    const highest = Math.min(...candidates.map(candidate => candidate.tier));
    const available = candidates.filter(candidate => candidate.tier === highest);
    const isPreferred = (candidate: T): boolean =>
        available.every(other => other.preferencePenalty >= candidate.preferencePenalty || costs.get(other)! > costs.get(candidate)!);
    return available.filter(isPreferred);
}
