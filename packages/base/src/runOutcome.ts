/** What is known about the execution of a request that was not answered. */
export enum RunOutcome {
    /** No upstream executed it, and none will. */
    DidNotRun = "did not run",
    /** It ran, but its answer is an error or was lost. */
    Ran = "ran",
    /** It may have run, or may still run. */
    Unknown = "unknown outcome",
}
