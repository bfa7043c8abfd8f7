/** Times of failure detection and elections, in milliseconds. docs/decisions/failover.md derives them. */
export const failoverLimits = {
    /** Between two status calls to an upstream of a healthy group. */
    pollMs: 800,
    /** The same while something looks wrong. */
    suspiciousPollMs: 100,
    /** Longest wait for a status. */
    statusTimeoutMs: 400,
    /** Age from which a status no longer counts, on the candidate's clock. */
    statusMaxAgeMs: 1_700,
    /** Silence of the primary on a replica that makes the candidate poll faster. */
    suspicionMs: 250,
    /** Silence of the primary on a replica from which it counts as lost. */
    silenceLimitMs: 700,
    /**
     * The same for a primary that refuses connections. Its server has ended, or is reached by no new work, so the silence
     * only has to show that the replicas agree: three heartbeats of replication.
     */
    refusedSilenceLimitMs: 150,
    /** Delay of each further candidate. Longer than a whole election takes. */
    staggerMs: 400,
    /** Time for the candidate of an open term to finish before another one starts. */
    openTermMs: 300,
    acceptTimeoutMs: 400,
    /** Wait for further upstreams after a majority has accepted. */
    acceptGraceMs: 20,
    promoteTimeoutMs: 1000,
    followTimeoutMs: 500,
    /** Random delay of a candidate, so that two of them do not keep splitting the votes. */
    jitterMs: 150,
    /** Entries that a replica may lack before a leaving primary is replaced. */
    plannedGapEntries: 50,
} as const;
