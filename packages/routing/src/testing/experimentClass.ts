import { Rank } from "@vanillarouter/base/rank";

/** One class of work in an overload experiment. */
export interface ExperimentClass {
    readonly name: string;
    readonly rank: Rank;
    readonly targetMs: number;
    readonly meanServiceMs: number;
    /** Ordinary demand, as a part of the upstream's slot time. */
    readonly ordinary: number;
    /** Demand at a time after the start in milliseconds; absent: `ordinary` always. */
    readonly demandAt?: (timeMs: number) => number;
    /** Part of the statements that take `longFactor` times as long. */
    readonly longFraction?: number;
    readonly longFactor?: number;
    /** Franchisees; the first sends `floodFactor` times as much as each of the others. */
    readonly franchisees?: number;
    readonly floodFactor?: number;
}
