/** One measured point: what was varied, and figures by name with their unit in the name. */
export interface CapacityRow {
    readonly figures: Readonly<Record<string, number>>;
}
