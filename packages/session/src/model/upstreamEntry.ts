/** An upstream's entry in service discovery. */
export interface UpstreamEntry {
    readonly id: string;
    readonly service: string;
    readonly host: string;
    readonly port: number;
    readonly zone: string;
    readonly slots: number;
    readonly isLeaving: boolean;
    /** Whether the upstream registered itself as primary. */
    readonly claimsPrimary: boolean;
    /** Unix time in milliseconds at which the upstream started; tells restarts under the same id apart. */
    readonly startedAtMs: number;
    /** Number of the report that wrote the entry, which starts anew when the upstream does; undefined if the entry has none. */
    readonly reportNumber?: number;
}
