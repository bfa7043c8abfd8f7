/** Address of heartbeats of a VM that a new one may ask for the members. */
export interface SeedAddress {
    readonly host: string;
    readonly heartbeatPort: number;
}
