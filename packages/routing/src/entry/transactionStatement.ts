/** One statement inside an open transaction. */
export interface TransactionStatement {
    /** Id of the transaction. */
    readonly transactionId: string;
    readonly upstream: string;
    /** Position of the statement in its transaction, from 0. The owner executes each number at most once. */
    readonly sequence: number;
    readonly sql: string;
    readonly timeoutMs: number;
}
