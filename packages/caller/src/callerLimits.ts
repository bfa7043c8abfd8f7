/** Limits that protect a VM from callers. */
export interface CallerLimits {
    /** Connections served at a time. */
    readonly maxConnections: number;
    /** Size of a statement with its hint, in bytes. */
    readonly maxStatementBytes: number;
    /** Time from connecting to the end of the login, in milliseconds. */
    readonly loginTimeoutMs: number;
}
