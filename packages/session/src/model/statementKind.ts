/** Kinds of statements that callers send. */
export enum StatementKind {
    Begin = "begin",
    Commit = "commit",
    Rollback = "rollback",
    Read = "read",
    Write = "write",
    SetValue = "set",
    Prepare = "prepare",
    Execute = "execute",
    Deallocate = "deallocate",
    Malformed = "malformed",
}
