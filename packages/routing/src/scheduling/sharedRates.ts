/** Ordinary demand of each class on one upstream as its owner measured it; goes with the group views to other VMs. */
export interface SharedRates {
    readonly upstream: string;
    /** Slot time per second of ordinary demand by class name, in milliseconds per second. */
    readonly slotTimeByClass: Readonly<Record<string, number>>;
    /** Age of the measurement, in milliseconds. */
    readonly ageMs: number;
}
