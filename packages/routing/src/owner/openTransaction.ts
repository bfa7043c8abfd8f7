import { Failure } from "@vanillarouter/base/failure";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { Result } from "ts-results";
import { PooledConnection } from "./pooledConnection";
import { TransactionRequest } from "./transactionRequest";

/** A transaction that is open on the owned upstream. */
export interface OpenTransaction {
    readonly req: TransactionRequest;
    readonly pooled: PooledConnection;
    /** Time on the owner's clock at which the transaction is rolled back, in milliseconds. */
    readonly deadline: number;
    /** Sequence number of the next statement. */
    nextSequence: number;
    /** Response to the last statement, returned again if the entry VM repeats that statement. */
    lastResponse: Result<StatementResult, Failure> | undefined;
    /** Whether a statement of the transaction is waiting or running. */
    isBusy: boolean;
    cancelIdleTimer: () => void;
}
