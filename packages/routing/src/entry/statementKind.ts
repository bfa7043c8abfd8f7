/** Kinds of statements that routing distinguishes. */
export enum StatementKind {
    Read = "read",
    Write = "write",
    Begin = "begin",
    Commit = "commit",
    Rollback = "rollback",
}
