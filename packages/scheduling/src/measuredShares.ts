/** Ordinary share of each class of the slot time of one upstream, as measured by its owner. Sent to other VMs with the group views. */
export interface MeasuredShares {
    readonly upstream: string;
    /** Ordinary share by class name, in milliseconds of slot time per second. */
    readonly slotTimeByClass: Readonly<Record<string, number>>;
    /** Age of the measurement, in milliseconds. */
    readonly ageMs: number;
}
