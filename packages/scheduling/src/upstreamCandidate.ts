/** What a VM knows about an upstream that may serve a read. */
export interface UpstreamCandidate {
    readonly id: string;
    readonly slots: number;
    /** Statements of this VM that run at the upstream or wait for a slot of it. */
    readonly ownInFlight: number;
    /** Slots that other VMs are expected to use, after the discount for the age of the status. */
    readonly expectedOthersBusy: number;
    /** Recent response time in milliseconds; zero if unknown. */
    readonly responseMs: number;
    /** Consecutive commands without a response. */
    readonly consecutiveFailures: number;
    /** Part of the recent statements that failed, each discounted by its age. */
    readonly failedPart: number;
    /** Fraction of the slots that new work may count on, from above 0 to 1. It is below 1 after the upstream was out of reach. */
    readonly readiness: number;
    /** Load per slot by which the other upstreams must be busier than this one before it is chosen; for zone, role and lag. */
    readonly preferencePenalty: number;
    /** Candidates of a lower tier are chosen only if there are none of a higher one. Zero is the highest. */
    readonly tier: number;
}
