import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { Result } from "ts-results";
import { OutcomeRequest } from "../entry/outcomeRequest";
import { TransactionEndRequest } from "../entry/transactionEndRequest";
import { TransactionStatement } from "../entry/transactionStatement";
import { ConfirmedPosition } from "../freshness/confirmedPosition";
import { OwnerRequest } from "./ownerRequest";
import { OwnerResponse } from "./ownerResponse";
import { TransactionRequest } from "./transactionRequest";

/**
 * The interface through which entry VMs use an owner, on the same VM or over a link. Each operation ends within the request's
 * timeout; if the link breaks, the operation fails with an outcome that tells whether the request may have run.
 */
export interface OwnerLink {
    execute(req: OwnerRequest): Operation<Result<OwnerResponse, Failure>>;
    begin(req: TransactionRequest): Operation<Result<void, Failure>>;
    executeInTransaction(req: TransactionStatement): Operation<Result<StatementResult, Failure>>;
    /** Commits or rolls back. When a commit returns Ok, a majority holds it in the transaction's term. */
    endTransaction(req: TransactionEndRequest): Operation<Result<OwnerResponse, Failure>>;
    /**
     * Returns the recorded response to a request (Ok), or records its cancellation (failure with outcome DidNotRun), or
     * fails with outcome Unknown if the group cannot be reached in time.
     */
    resolveOutcome(req: OutcomeRequest): Operation<Result<OwnerResponse, Failure>>;
    /** Confirms the primary's term, no earlier than the start of the call, and returns the primary's log position. */
    confirmPosition(group: string, upstream: string, timeoutMs: number): Operation<Result<ConfirmedPosition, Failure>>;
}
