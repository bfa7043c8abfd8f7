import { RandomSource } from "@vanillarouter/base/randomSource";
import { computeExpectedCost } from "../computeExpectedCost";
import { UpstreamCandidate } from "../upstreamCandidate";
import { UpstreamChooser } from "../upstreamChooser";
import { selectPreferred } from "./selectPreferred";

/** Draws two of the preferred upstreams at random and chooses the one with the lower expected cost. */
export class BetterOfTwoChooser implements UpstreamChooser {
    private constructor(private readonly random: RandomSource) {}

    public static create(random: RandomSource): BetterOfTwoChooser {
        return new BetterOfTwoChooser(random);
    }

    public choose<T extends UpstreamCandidate>(candidates: readonly T[]): T | undefined {
        const preferred = selectPreferred(candidates);
        if (preferred.length < 2) return preferred[0];
        const firstIndex = Math.floor(this.random.next() * preferred.length);
        const offset = 1 + Math.floor(this.random.next() * (preferred.length - 1));
        const first = preferred[firstIndex]!;
        const second = preferred[(firstIndex + offset) % preferred.length]!;
        return computeExpectedCost(second) < computeExpectedCost(first) ? second : first;
    }
}
