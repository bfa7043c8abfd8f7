import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import { SlotRequest } from "@vanillarouter/scheduling/slotRequest";
import { Err, Ok, Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { TransactionEndRequest } from "../entry/transactionEndRequest";
import { TransactionStatement } from "../entry/transactionStatement";
import { UpstreamResponse } from "../group/upstreamResponse";
import { OutcomeResolver } from "../outcomes/outcomeResolver";
import { ConnectionPool } from "./connectionPool";
import { OpenTransaction } from "./openTransaction";
import { OwnerContext } from "./ownerContext";
import { PooledConnection } from "./pooledConnection";
import { TransactionRequest } from "./transactionRequest";

/**
 * Number of times the progress timeout is doubled for statements in a transaction. Closing the connection loses the
 * transaction, whereas a single statement can be sent again, so a slow statement must not be mistaken for a silent connection.
 */
const progressTimeoutDoublings = 2;

/**
 * Time for which an open transaction may wait for its caller's next statement, in milliseconds. It may hold row locks
 * meanwhile.
 */
const idleTimeoutMs = 5_000;
/** Timeout for a rollback, in milliseconds. If it expires, the connection is closed, which also rolls back. */
const rollbackTimeoutMs = 1_000;

/**
 * Executes transactions on a primary, each pinned to a connection. A transaction holds a slot only while a statement runs,
 * so a caller that pauses between statements does not delay urgent work. Its next statement goes ahead of new work of the
 * same rank, because the transaction may hold locks.
 */
export class TransactionExecutor {
    private readonly transactions = new Map<string, OpenTransaction>();
    private beginningCount = 0;

    private constructor(
        private readonly context: OwnerContext,
        private readonly resolver: OutcomeResolver,
        private readonly pool: ConnectionPool,
        private readonly tasks: TaskGroup,
    ) {}

    public static create(context: OwnerContext, resolver: OutcomeResolver, pool: ConnectionPool, tasks: TaskGroup): TransactionExecutor {
        return new TransactionExecutor(context, resolver, pool, tasks);
    }

    public get openCount(): number {
        return this.transactions.size + this.beginningCount;
    }

    public has(transactionId: string): boolean {
        return this.transactions.has(transactionId);
    }

    public *begin(req: TransactionRequest): Operation<Result<void, Failure>> {
        if (this.resolver.findTerm() !== req.term) return Err(createFailure(Diagnostics.termReplaced, RunOutcome.DidNotRun, req.upstream, req.term));
        if (this.transactions.has(req.requestId)) return Err(createFailure(Diagnostics.transactionOpen, RunOutcome.DidNotRun));
        // Leave one connection per slot free; otherwise transactions waiting for their callers would block all other work.
        const limit = this.pool.limit - this.context.upstream.slots;
        if (this.openCount >= limit) return Err(createFailure(Diagnostics.transactionLimit, RunOutcome.DidNotRun, req.upstream, this.openCount));
        this.beginningCount++;
        try {
            const deadline = this.context.clock.now() + req.timeoutMs;
            const started = yield* this.context.scheduler.run(this.createSlotRequest(req, deadline, false), () => this.beginOnConnection(req, deadline));
            return started.ok ? started.val : started;
        }
        finally {
            this.beginningCount--;
        }
    }

    public *execute(statement: TransactionStatement): Operation<Result<StatementResult, Failure>> {
        const transaction = this.transactions.get(statement.transactionId);
        if (transaction === undefined) return this.createLostFailure(statement.transactionId, statement.upstream, RunOutcome.DidNotRun);
        if (statement.sequence === transaction.nextSequence - 1 && transaction.lastResponse !== undefined) return transaction.lastResponse;
        if (statement.sequence !== transaction.nextSequence || transaction.isBusy) return this.createSequenceFailure(transaction, statement.sequence);
        transaction.nextSequence++;
        transaction.lastResponse = undefined;
        const deadline = Math.min(transaction.deadline, this.context.clock.now() + statement.timeoutMs);
        const response = yield* this.runPinned(transaction, deadline, () => transaction.pooled.connection.executeInTransaction(statement.sql));
        const result = response.ok ? Ok(response.val.result) : response;
        transaction.lastResponse = result;
        return result;
    }

    /** Commits or rolls back. Ok for a commit means that a majority holds it in the transaction's term. */
    public *end(req: TransactionEndRequest): Operation<Result<UpstreamResponse, Failure>> {
        const transaction = this.transactions.get(req.transactionId);
        // An earlier commit request whose response was lost may have executed the commit, so its outcome is unknown here.
        if (transaction === undefined) return this.createLostFailure(req.transactionId, req.upstream, req.commit ? RunOutcome.Unknown : RunOutcome.DidNotRun);
        if (transaction.isBusy) return this.createSequenceFailure(transaction, transaction.nextSequence);
        if (req.commit) return yield* this.commit(transaction, req);
        yield* this.rollBack(transaction);
        const result: StatementResult = { columns: [], rows: [], affectedRows: 0, insertId: 0, info: "" };
        return Ok({ result, at: this.context.watch.applied, recordedBefore: false });
    }

    /** Rolls back the transactions of an entry VM that has failed or left. */
    public rollBackTransactionsOf(entryVm: string): void {
        for (const transaction of this.transactions.values()) {
            if (transaction.req.entryVm === entryVm) this.rollBackOrClose(transaction);
        }
    }

    private *beginOnConnection(req: TransactionRequest, deadline: number): Operation<Result<void, Failure>> {
        const pooled = yield* this.pool.acquire(deadline);
        if (pooled === undefined) return Err(createFailure(Diagnostics.noConnection, RunOutcome.DidNotRun, req.upstream));
        let isPinned = false;
        try {
            const begun = yield* this.context.runner.runOn(req.className, deadline, 0, pooled.connection.begin(req.term));
            // Even if `begin` took effect and only its response was lost, no statement has run; closing the connection ends the transaction.
            if (!begun.ok) return Err({ ...begun.val, outcome: RunOutcome.DidNotRun });
            isPinned = true;
            this.pin(req, pooled, deadline);
            return begun;
        }
        finally {
            if (!isPinned) this.pool.discard(pooled);
        }
    }

    private pin(req: TransactionRequest, pooled: PooledConnection, deadline: number): void {
        const transaction: OpenTransaction = {
            req,
            pooled,
            deadline,
            nextSequence: 0,
            lastResponse: undefined,
            isBusy: false,
            cancelIdleTimer: () => {},
        };
        this.transactions.set(req.requestId, transaction);
        this.startIdleTimer(transaction);
    }

    private startIdleTimer(transaction: OpenTransaction): void {
        const remainingMs = Math.min(idleTimeoutMs, transaction.deadline - this.context.clock.now());
        transaction.cancelIdleTimer = this.context.clock.startTimer(remainingMs, () => this.rollBackOrClose(transaction));
    }

    /**
     * Rolls back a transaction whose entry VM is gone, or whose idle timeout or deadline expired. Closes the connection if
     * a statement is running.
     */
    private rollBackOrClose(transaction: OpenTransaction): void {
        if (!this.transactions.has(transaction.req.requestId)) return;
        if (transaction.isBusy) this.remove(transaction, false);
        else this.tasks.start(this.rollBack(transaction));
    }

    /**
     * Runs a statement on the transaction's connection. If the outcome is unknown, the connection is closed and the
     * transaction is lost.
     */
    private *runPinned<T>(
        transaction: OpenTransaction,
        deadline: number,
        statement: () => Operation<Result<T, Failure>>,
    ): Operation<Result<T, Failure>> {
        transaction.isBusy = true;
        transaction.cancelIdleTimer();
        let isOutcomeKnown = false;
        try {
            const run = (): Operation<Result<T, Failure>> =>
                this.context.runner.runOn(transaction.req.className, deadline, progressTimeoutDoublings, statement());
            const scheduled = yield* this.context.scheduler.run(this.createSlotRequest(transaction.req, deadline, true), run);
            const result = scheduled.ok ? scheduled.val : scheduled;
            isOutcomeKnown = result.ok || result.val.outcome !== RunOutcome.Unknown;
            return result;
        }
        finally {
            transaction.isBusy = false;
            if (!isOutcomeKnown) this.remove(transaction, false);
            else if (this.transactions.has(transaction.req.requestId)) this.startIdleTimer(transaction);
        }
    }

    private *commit(transaction: OpenTransaction, endRequest: TransactionEndRequest): Operation<Result<UpstreamResponse, Failure>> {
        const { req, pooled } = transaction;
        const { clock } = this.context;
        const deadline = clock.now() + endRequest.timeoutMs;
        const commitDeadline = clock.now() + endRequest.timeoutMs / 2;
        const response = yield* this.runPinned(transaction, commitDeadline, () => pooled.connection.commit(req.term, req.requestId));
        if (!response.ok && response.val.outcome === RunOutcome.Unknown) return yield* this.resolver.resolve(req.requestId, deadline);
        if (!response.ok) {
            yield* this.rollBack(transaction);
            return response;
        }
        this.remove(transaction, true);
        this.context.watch.recordApplied(response.val.at);
        return (yield* this.resolver.waitForMajority(response.val.at, req.term, deadline)) ? response : this.resolver.failUnknown(req.requestId);
    }

    private *rollBack(transaction: OpenTransaction): Operation<void> {
        if (!this.transactions.has(transaction.req.requestId)) return;
        const deadline = this.context.clock.now() + rollbackTimeoutMs;
        const response = yield* this.runPinned(transaction, deadline, () => transaction.pooled.connection.rollback());
        this.remove(transaction, response.ok);
    }

    private remove(transaction: OpenTransaction, isReusable: boolean): void {
        transaction.cancelIdleTimer();
        if (!this.transactions.delete(transaction.req.requestId)) return;
        if (isReusable) this.pool.release(transaction.pooled);
        else this.pool.discard(transaction.pooled);
    }

    private createSlotRequest(req: TransactionRequest, deadline: number, continuesWork: boolean): SlotRequest {
        const { className, rank, franchisee } = req;
        return { className, rank, franchisee, arrivedAt: this.context.clock.now(), deadline, afterSlotMs: 0, continuesWork };
    }

    private createLostFailure<T>(id: string, upstream: string, outcome: RunOutcome): Result<T, Failure> {
        return Err(createFailure(Diagnostics.transactionLost, outcome, id, upstream));
    }

    private createSequenceFailure<T>(transaction: OpenTransaction, sequence: number): Result<T, Failure> {
        const outcome = transaction.isBusy ? RunOutcome.Unknown : RunOutcome.DidNotRun;
        return Err(createFailure(Diagnostics.sequenceMismatch, outcome, transaction.req.requestId, transaction.nextSequence, sequence));
    }
}
