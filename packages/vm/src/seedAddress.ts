/** Heartbeat address of a VM from which a joining VM can request the member table. */
export interface SeedAddress {
    readonly host: string;
    readonly heartbeatPort: number;
}
