import { RandomSource } from "@vanillarouter/base/randomSource";
import { selectCheapest } from "./selectCheapest";
import { UpstreamCandidate } from "./upstreamCandidate";
import { UpstreamChooser } from "./upstreamChooser";

/** Response time that costs as much as having all the upstream's slots in use by this VM. */
const fullLoadResponseMs = 150;
/** Range of the random cost that keeps VMs with the same information from all choosing the same upstream. */
const randomCostRange = 0.1;

/** Chooses the upstream with the smallest cost by this VM's own use, its response times and consecutive failures. */
export class SmallestCostChooser implements UpstreamChooser {
    private constructor(private readonly random: RandomSource) {}

    public static create(random: RandomSource): SmallestCostChooser {
        return new SmallestCostChooser(random);
    }

    public choose<T extends UpstreamCandidate>(candidates: readonly T[]): T | undefined {
        return selectCheapest(candidates, candidate => this.computeCost(candidate));
    }

    private computeCost({ ownInFlight, slots, consecutiveFailures, responseMs, preferencePenalty }: UpstreamCandidate): number {
        const load = ownInFlight / Math.max(1, slots) + consecutiveFailures + responseMs / fullLoadResponseMs;
        return load + this.random.next() * randomCostRange + preferencePenalty;
    }
}
