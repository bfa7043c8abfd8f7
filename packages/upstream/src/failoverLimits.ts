/** Limits of failure detection and elections; times are in milliseconds. docs/decisions/failover.md derives them. */
export const failoverLimits = {
    /** Interval between two status calls to an upstream of a healthy group. */
    pollIntervalMs: 800,
    /** Interval between two status calls while a failure is suspected. */
    suspiciousPollIntervalMs: 100,
    /** Timeout of a status call. */
    statusTimeoutMs: 400,
    /** Age above which the first candidate ignores a status, on its own clock. Candidates with longer poll intervals scale it likewise. */
    statusMaxAgeMs: 1_700,
    /** Time without contact between a replica and the primary after which the candidate polls faster. */
    suspicionSilenceMs: 250,
    /** Time without contact between a replica and the primary after which the replica counts as having lost it. */
    silenceLimitMs: 700,
    /**
     * The same limit for a primary that refuses connections. Its server has exited, or no new work can reach it, so the
     * silence only has to confirm that the replicas have lost it too: three replication heartbeats.
     */
    refusedSilenceLimitMs: 150,
    /** Additional delay of each candidate compared with the one before it. Longer than a complete election takes. */
    candidateDelayMs: 400,
    /** Time that the candidate of an open term has to finish before another candidate starts an election. */
    openTermTimeoutMs: 300,
    acceptTimeoutMs: 400,
    /** Time to wait for responses of further upstreams after a majority has accepted. */
    acceptGraceMs: 20,
    promoteTimeoutMs: 1000,
    followTimeoutMs: 500,
    /** Maximum random delay of a candidate, so that two candidates do not split the votes repeatedly. */
    maxJitterMs: 150,
    /** Maximum number of log entries that a replica may lag behind a leaving primary for the primary to be replaced. */
    maxHandoverLagEntries: 50,
} as const;
