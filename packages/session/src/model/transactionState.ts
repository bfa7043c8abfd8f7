/** The transaction state of a session. */
export enum TransactionState {
    Idle = "idle",
    Open = "open",
    /** A statement of the transaction failed; only COMMIT and ROLLBACK are accepted. */
    Failed = "failed",
}
