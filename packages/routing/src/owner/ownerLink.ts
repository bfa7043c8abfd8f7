import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { Result } from "ts-results";
import { OutcomeRequest } from "../entry/outcomeRequest";
import { TransactionEnd } from "../entry/transactionEnd";
import { TransactionStatement } from "../entry/transactionStatement";
import { ConfirmedPosition } from "../freshness/confirmedPosition";
import { OwnerAnswer } from "./ownerAnswer";
import { OwnerRequest } from "./ownerRequest";
import { TransactionRequest } from "./transactionRequest";

/**
 * The owner role as entry VMs use it, on the same VM or over a link. Each operation ends within the request's time;
 * a link that breaks ends it with a failure whose outcome says what is known.
 */
export interface OwnerLink {
    execute(req: OwnerRequest): Operation<Result<OwnerAnswer, Failure>>;
    begin(req: TransactionRequest): Operation<Result<void, Failure>>;
    executeInTransaction(req: TransactionStatement): Operation<Result<StatementResult, Failure>>;
    /** Commits or rolls back. A commit that returns Ok is held by a majority under the transaction's term. */
    endTransaction(req: TransactionEnd): Operation<Result<OwnerAnswer, Failure>>;
    /**
     * Returns the recorded answer of a request (Ok), or records its cancellation (failure with outcome DidNotRun), or
     * fails with outcome Unknown when the group cannot be reached in time.
     */
    resolveOutcome(req: OutcomeRequest): Operation<Result<OwnerAnswer, Failure>>;
    /** Confirms the primary's term after the call began and returns its position. */
    confirmPosition(group: string, upstream: string, timeoutMs: number): Operation<Result<ConfirmedPosition, Failure>>;
}
