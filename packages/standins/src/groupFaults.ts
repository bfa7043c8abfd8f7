/** Faults that can be injected into a running upstream. */
export interface GroupFaults {
    /** Time between receiving and applying a log entry on a replica, in milliseconds. */
    readonly applyLagMs: number;
    /** Execution time of a statement, in milliseconds. */
    readonly statementMs: number;
    /** Whether the upstream neither sends messages to the other upstreams nor processes theirs. */
    readonly isolatedFromPeers: boolean;
    /** Whether clients get no response. Requests and responses are deferred until the isolation ends, as TCP would retransmit lost packets. */
    readonly isolatedFromClients: boolean;
    /** Number of subsequent writes that are executed, but whose connection is then closed without a response. */
    readonly loseReplies: number;
    /** Whether `vr_status` reports that the upstream is leaving. */
    readonly leaving: boolean;
}
