import { RandomSource } from "@vanillarouter/base/randomSource";
import { UpstreamCandidate } from "../upstreamCandidate";
import { UpstreamChooser } from "../upstreamChooser";
import { selectPreferred } from "./selectPreferred";

/** Free slots that an upstream counts with when all are in use, so that one whose news is wrong still gets some work. */
const minFreeSlots = 0.1;
/** Added to response times, so that small differences between fast upstreams do not decide. */
const baseResponseMs = 10;

/** Draws one of the preferred upstreams at random, in proportion to the statements per second that its free slots can run. */
export class FreeCapacityChooser implements UpstreamChooser {
    private constructor(private readonly random: RandomSource) {}

    public static create(random: RandomSource): FreeCapacityChooser {
        return new FreeCapacityChooser(random);
    }

    public choose<T extends UpstreamCandidate>(candidates: readonly T[]): T | undefined {
        const preferred = selectPreferred(candidates);
        const weights = preferred.map(candidate => this.computeWeight(candidate));
        let drawn = this.random.next() * weights.reduce((sum, weight) => sum + weight, 0);
        for (const [index, weight] of weights.entries()) {
            drawn -= weight;
            if (drawn < 0) return preferred[index];
        }
        return preferred.at(-1);
    }

    private computeWeight({ slots, ownInFlight, expectedOthersBusy, responseMs, failedPart, readiness }: UpstreamCandidate): number {
        const freeSlots = Math.max(minFreeSlots, slots * readiness - ownInFlight - expectedOthersBusy);
        return freeSlots / ((baseResponseMs + responseMs) * (1 + 8 * failedPart));
    }
}
