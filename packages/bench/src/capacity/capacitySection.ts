import { CapacityRow } from "./capacityRow";

/** The points of one measurement and what follows from them. */
export interface CapacitySection {
    readonly name: string;
    /** How it was measured, in a sentence. */
    readonly method: string;
    readonly rows: readonly CapacityRow[];
    /** Slopes over the rows, by name with their unit in the name. */
    readonly slopes: Readonly<Record<string, number>>;
}
