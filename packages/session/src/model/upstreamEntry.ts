/** An upstream as service discovery lists it. */
export interface UpstreamEntry {
    readonly id: string;
    readonly service: string;
    readonly host: string;
    readonly port: number;
    readonly zone: string;
    readonly slots: number;
    readonly isLeaving: boolean;
    /** Whether the upstream regards itself as primary. */
    readonly claimsPrimary: boolean;
    /** Unix time of its start in milliseconds; distinguishes restarts under one id. */
    readonly startedAtMs: number;
}
