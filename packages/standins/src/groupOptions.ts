/** How a stand-in upstream is set up. Ports of 0 let the system choose. */
export interface GroupOptions {
    readonly id: string;
    readonly port: number;
    readonly peerPort: number;
    readonly controlPort: number;
    readonly user: string;
    readonly password: string;
    /** Statements executed at a time. */
    readonly slots: number;
    readonly maxConnections: number;
    /** Time to open a connection, in milliseconds. */
    readonly connectMs: number;
    /** Execution time of a statement, in milliseconds. */
    readonly statementMs: number;
    readonly applyLagMs: number;
    /** Upstream id of the primary of term 1; absent: the group starts without a primary. */
    readonly primary?: string;
    /** Items in the table `stock` at the start. */
    readonly items: number;
}
