/** Limits on the number of attempts of an operation and on the time it waits for an upstream. */
export const AttemptLimits = {
    maxAttempts: 5,
    /** An upstream without room is asked again this many times if no other one is suitable. More attempts would only add to its load. */
    maxRepeatsWhenBusy: 1,
    /** Delay before the second attempt. The delay grows by this amount with each further attempt. */
    retryDelayMs: 8,
    /** Fraction of the statement timeout that an operation may wait for an upstream; the rest is left for running it. */
    maxWaitFraction: 0.7,
} as const;
