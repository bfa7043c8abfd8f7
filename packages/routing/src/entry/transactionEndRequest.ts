/** A request to end an open transaction, by COMMIT if `commit` is set and by ROLLBACK otherwise. */
export interface TransactionEndRequest {
    readonly transactionId: string;
    readonly upstream: string;
    readonly commit: boolean;
    readonly timeoutMs: number;
}
