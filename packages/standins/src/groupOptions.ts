/** Configuration of a stand-in upstream. A port of 0 lets the system choose. */
export interface GroupOptions {
    readonly id: string;
    readonly port: number;
    readonly peerPort: number;
    readonly controlPort: number;
    readonly user: string;
    readonly password: string;
    /** Maximum number of statements executed at a time. */
    readonly slots: number;
    readonly maxConnections: number;
    /** Time to open a connection, in milliseconds. */
    readonly connectMs: number;
    /** Execution time of a statement, in milliseconds. */
    readonly statementMs: number;
    /** Time between receiving and applying a log entry on a replica, in milliseconds. */
    readonly applyLagMs: number;
    /** Id of the upstream that is primary in term 1. If absent, the group starts without a primary. */
    readonly primary?: string;
    /** Number of items in the table `stock` at the start. */
    readonly items: number;
}
