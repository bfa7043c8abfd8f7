/** Kinds of commands that a VM sends to an upstream. */
export enum CommandKind {
    /** Run a caller's statement. */
    Forward,
    Begin,
    Rollback,
    Reset,
    SetValue,
    Prepare,
    Status,
    /** Reject replicated log entries of terms below the given one. */
    Fence,
    /** Step down to replica if the upstream's own term is lower than the given one. */
    Demote,
}
