/** Ends an open transaction. */
export interface TransactionEnd {
    readonly transactionId: string;
    readonly upstream: string;
    readonly commit: boolean;
    readonly timeoutMs: number;
}
