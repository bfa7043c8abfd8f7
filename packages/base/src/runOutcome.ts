/** What is known about the execution of a request that failed. */
export enum RunOutcome {
    /** No upstream has executed the request, and none will. */
    DidNotRun = "did not run",
    /** The request was executed, but its response is an error or was lost. */
    Ran = "ran",
    /** The request may have been executed, or may still be. */
    Unknown = "unknown outcome",
}
