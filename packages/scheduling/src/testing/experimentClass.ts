import { Rank } from "@vanillarouter/base/rank";

/** One class of work in an overload experiment. */
export interface ExperimentClass {
    readonly name: string;
    readonly rank: Rank;
    readonly targetMs: number;
    readonly meanServiceMs: number;
    /** Ordinary demand, as a fraction of the upstream's slot time. */
    readonly ordinaryDemand: number;
    /** Demand at a time in milliseconds after the start, as a fraction of the upstream's slot time. Defaults to `ordinaryDemand`. */
    readonly demandAt?: (timeMs: number) => number;
    /** Fraction of the statements that take `longFactor` times as long. */
    readonly longFraction?: number;
    readonly longFactor?: number;
    /** Number of franchisees. The first one sends `floodFactor` times as much as each of the others. */
    readonly franchisees?: number;
    readonly floodFactor?: number;
}
