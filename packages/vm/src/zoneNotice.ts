/** What a relay says of the other zones to its own. A higher sequence number replaces a lower one of the same relay. */
export interface ZoneNotice {
    readonly relay: string;
    readonly sequence: number;
    /** Zones none of whose VMs it reaches. */
    readonly unreachable: readonly string[];
}
