/** Kinds of heartbeat messages. */
export enum HeartbeatKind {
    Ping,
    Ack,
    /** Asks the receiver to ping a third member and to pass its ack on. */
    PingRequest,
    /** Carries updates only. */
    Gossip,
    /** Asks for one page of the member table. */
    SyncRequest,
    SyncPage,
}
