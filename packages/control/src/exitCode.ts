/** Exit codes of `vrctl`. */
export enum ExitCode {
    Success = 0,
    Failure = 1,
    Usage = 2,
    /** Another change was applied first. */
    Conflict = 3,
    /** The VM cannot be reached, or it has no configuration yet, or it cannot use the platform's store. */
    Unreachable = 4,
}
