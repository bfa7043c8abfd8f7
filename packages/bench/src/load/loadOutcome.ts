/** How a request of the load ended for its caller. */
export enum LoadOutcome {
    Answered = "answered",
    /** Refused with the statement that it did not run. */
    RefusedNotRun = "refused",
    /** No definite answer, after all retries under the same request id. */
    Unknown = "unknown",
    /** An error that says neither. */
    Failed = "failed",
    /** An answer that cannot be the right one: another franchisee's rows, or the caller's own write is missing. */
    Wrong = "wrong",
}
