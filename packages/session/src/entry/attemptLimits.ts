/** How often and how long an operation looks for a place to run. */
export const AttemptLimits = {
    mostAttempts: 5,
    /** Pause before the second attempt; each further one waits that much longer. */
    retryPauseMs: 8,
    /** Share of the statement timeout that an operation may wait for a place to run; the rest is for the run itself. */
    waitShare: 0.7,
} as const;
