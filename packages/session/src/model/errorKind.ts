/** Errors that upstreams return and that callers receive. */
export enum ErrorKind {
    Busy = "busy",
    /** The transaction was rolled back. */
    Aborted = "aborted",
    /** The upstream has not reached the requested log position. */
    Lagging = "lagging",
    ReadOnly = "read-only",
    Misrouted = "misrouted",
    TooManyConnections = "too many connections",
    /** The statement may have run. */
    UnknownOutcome = "unknown outcome",
    TimedOut = "timed out",
    Failed = "failed",
    NoStatement = "no such statement",
    NoDatabase = "no such database",
    Malformed = "malformed",
    /** The caller's key gives no access. Nothing ran. */
    NotAuthenticated = "not authenticated",
    TooBig = "too big",
    /** Nothing listens at the address of an upstream. */
    Refused = "refused",
    Other = "other",
}
