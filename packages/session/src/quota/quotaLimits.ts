/** Limits and delays of tenant quotas. Times are in milliseconds. */
export const QuotaLimits = {
    /** Time from asking for a token to its last use. The window of 5 s of a quota thus contains what is granted in 5.5 s. */
    tokenLifetimeMs: 500,
    /** The longest time by which the member lists of two VMs differ. */
    maxListLagMs: 5_000,
    /** Time after which all VMs that reach the store have heard of a change, and the tokens that were granted until then have expired. */
    takeoverDelayMs: 5_500,
    /**
     * The same if the former keeper may have been cut off since before the change: it may go on for the gap after its last renewal that
     * `maxGapMs` allows, hears of the change `maxListLagMs` later, and its last renewal is up to `maxListLagMs` younger than the change.
     */
    settledTakeoverDelayMs: 25_500,
    /** Lifetime of a VM's entry in the member list after the sending of its last renewal. */
    registrationMs: 10_000,
    /**
     * Time for which a VM keeps its parts after it was dropped from the member list. A VM whose lease ends in an outage of the store
     * then gets back all of its parts without a delay.
     */
    keptMemberMs: 15_000,
    /** A VM that registers again this soon after its last renewal does so before any VM has given its parts to another one. */
    maxGapMs: 15_000,
    /** Upper limit of the number of parts of a tenant's limit. */
    maxParts: 8,
    minParts: 3,
    /** A tenant gets another part for this many operations per second, so that a part never holds less than one operation. */
    operationsPerPart: 8,
    /** Maximum number of tokens in one message. */
    maxTokens: 1_000,
    /** Maximum length of a tenant's name in a message. */
    maxTenantLength: 256,
    /** Maximum retry-after time in a message, and the one of a tenant that gets no tokens at all. */
    maxRetryMs: 10_000,
} as const;
