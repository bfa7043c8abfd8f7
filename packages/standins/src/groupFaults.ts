/** Faults that can be set on an upstream while it runs. */
export interface GroupFaults {
    /** Time between receiving and applying an entry on a replica, in milliseconds. */
    readonly applyLagMs: number;
    /** Execution time of a statement, in milliseconds. */
    readonly statementMs: number;
    /** Whether other upstreams can neither reach it nor be reached. */
    readonly isolatedFromPeers: boolean;
    /** Whether clients get no answer. Packets are kept until the isolation ends, as TCP does. */
    readonly isolatedFromClients: boolean;
    /** Number of writes whose reply is dropped, with the connection, after they were executed. */
    readonly loseReplies: number;
    /** Whether the upstream says that it is leaving. */
    readonly leaving: boolean;
}
