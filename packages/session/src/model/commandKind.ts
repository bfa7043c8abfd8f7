/** Commands to an upstream. */
export enum CommandKind {
    /** A caller's statement. */
    Forward,
    Begin,
    Rollback,
    Reset,
    SetValue,
    Prepare,
    Status,
    /** Stop receiving entries of terms below the given one. */
    Fence,
    /** Become a replica if the own term is lower than the given one. */
    Demote,
}
