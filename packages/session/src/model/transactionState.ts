/** The transaction state of a session. */
export enum TransactionState {
    Idle = "idle",
    Open = "open",
    /** A statement of the transaction failed; only its end is accepted. */
    Failed = "failed",
}
