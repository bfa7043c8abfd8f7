/** A relay's report to its own zone about the zones it cannot reach. It replaces notices of the same relay with lower sequence numbers. */
export interface ZoneNotice {
    readonly relay: string;
    readonly sequence: number;
    /** Zones in which the relay cannot reach any VM. */
    readonly unreachable: readonly string[];
}
