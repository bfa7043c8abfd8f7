/** Kinds of heartbeat messages. */
export enum HeartbeatKind {
    Ping,
    Ack,
    /** Asks the receiver to ping a third member and forward its ack. */
    PingRequest,
    /** Carries updates only. */
    Gossip,
    /** Requests one page of the member table. */
    SyncRequest,
    SyncPage,
}
