import { UpstreamCandidate } from "./upstreamCandidate";

/** Response time that costs as much as having all the upstream's slots in use. */
const fullLoadResponseMs = 100;

/** Load per slot that costs as much as an upstream that fails everything. */
const failureCost = 8;

/** Returns the expected load per slot that an upstream would have with one more statement, with its response times, failures and penalty as load. */
export function computeExpectedCost(candidate: UpstreamCandidate): number {
    const { slots, ownInFlight, expectedOthersBusy, responseMs, failedPart, readiness, preferencePenalty } = candidate;
    const load = (ownInFlight + expectedOthersBusy + 1) / (Math.max(1, slots) * readiness);
    return load + responseMs / fullLoadResponseMs + failedPart * failureCost + preferencePenalty;
}
