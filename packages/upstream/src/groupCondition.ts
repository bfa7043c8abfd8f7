/** Condition of a database group, derived from what its upstreams report about the primary. */
export enum GroupCondition {
    /** Enough replicas receive heartbeats from the primary of the highest term. */
    Healthy = "healthy",
    /** Too few replicas receive heartbeats from the primary for a write to be confirmed. */
    PrimaryLost = "primary lost",
    /** The highest accepted term has no primary: an election is in progress, or its candidate has failed. */
    TermOpen = "term without primary",
    /** The group never had a primary. */
    NeverStarted = "never started",
    /** Fewer upstreams are reachable than an election needs. */
    MajorityUnreachable = "majority unreachable",
}
