/** What the upstreams of a group say about its primary. */
export enum GroupCondition {
    /** A primary of the highest term is heard by enough replicas. */
    Healthy = "healthy",
    /** So few replicas hear the primary that it can get no write confirmed. */
    PrimaryLost = "primary lost",
    /** A term was accepted that has no primary: an election is open, or its candidate has failed. */
    TermOpen = "term without primary",
    /** The group never had a primary. */
    NeverStarted = "never started",
    /** Too few upstreams answer for an election. */
    MajorityUnreachable = "majority unreachable",
}
