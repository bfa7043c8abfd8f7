import { RandomSource } from "@vanillarouter/base/randomSource";
import { computeExpectedCost } from "./computeExpectedCost";
import { selectCheapest } from "./selectCheapest";
import { UpstreamCandidate } from "./upstreamCandidate";
import { UpstreamChooser } from "./upstreamChooser";

/** Range of the random cost that keeps VMs with the same information from all choosing the same upstream. */
const randomCostRange = 0.1;

/**
 * Chooses the upstream with the smallest cost by the load that all VMs are expected to cause there, its response times, recent failures and
 * return from an outage.
 */
export class ExpectedCostChooser implements UpstreamChooser {
    private constructor(private readonly random: RandomSource) {}

    public static create(random: RandomSource): ExpectedCostChooser {
        return new ExpectedCostChooser(random);
    }

    public choose<T extends UpstreamCandidate>(candidates: readonly T[]): T | undefined {
        return selectCheapest(candidates, candidate => computeExpectedCost(candidate) + this.random.next() * randomCostRange);
    }
}
