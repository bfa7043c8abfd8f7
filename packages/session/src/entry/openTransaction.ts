import { Operation } from "@vanillarouter/base/operation";
import { sleep } from "@vanillarouter/base/sleep";
import { Task } from "@vanillarouter/base/task";
import { Result } from "ts-results";
import { describeGroup } from "../cluster/describeGroup";
import { ServiceGroup } from "../cluster/serviceGroup";
import { Diagnostics } from "../diagnostics";
import { CallerStatement } from "../model/callerStatement";
import { CallerTransaction } from "../model/callerTransaction";
import { CommandKind } from "../model/commandKind";
import { ErrorKind } from "../model/errorKind";
import { StatementKind } from "../model/statementKind";
import { TransactionState } from "../model/transactionState";
import { UpstreamResponse } from "../model/upstreamResponse";
import { UpstreamConnection } from "../upstream/upstreamConnection";
import { AttemptLimits } from "./attemptLimits";
import { CallerRequest } from "./callerRequest";
import { createFailedOutcome } from "./createFailedOutcome";
import { describeTarget } from "./describeTarget";
import { EntryContext } from "./entryContext";
import { hasCallerLeft } from "./hasCallerLeft";
import { StatementOutcome } from "./statementOutcome";
import { Target } from "./target";

/** Errors with which an upstream refuses a statement that it did not run. After any other error to a COMMIT the outcome is unknown. */
const refusalKinds: ReadonlySet<ErrorKind> = new Set([
    ErrorKind.Busy,
    ErrorKind.Lagging,
    ErrorKind.ReadOnly,
    ErrorKind.Aborted,
    ErrorKind.NoStatement,
    ErrorKind.Malformed,
]);

/** A caller's transaction. It begins on an upstream with its first statement and keeps that connection until it ends. */
export class OpenTransaction implements CallerTransaction {
    private placement: { readonly target: Target; readonly connection: UpstreamConnection; } | undefined;
    private hasWritten = false;
    /** Whether a command was sent on the connection and has neither been answered nor given up. */
    private isConnectionBusy = false;
    private isRolledBack = false;

    private constructor(private readonly context: EntryContext, private readonly group: ServiceGroup, private readonly req: CallerRequest) {}

    public static create(context: EntryContext, group: ServiceGroup, req: CallerRequest): OpenTransaction {
        return new OpenTransaction(context, group, req);
    }

    /** Runs a read or write. An error rolls back and ends the transaction. */
    public *runStatement(statement: CallerStatement): Operation<StatementOutcome> {
        const deadline = this.context.clock.now() + this.req.workClass.statementTimeoutMs;
        const failure = yield* this.begin(statement, deadline);
        if (failure !== undefined) return failure;
        const forwarded = yield* this.forward(statement, deadline);
        if (forwarded.err) return this.abortWithoutSlot();
        const response = forwarded.val;
        if (response === undefined || response.error !== undefined) return this.abort(response);
        if (!this.req.session.isReadOnly(statement)) this.hasWritten = true;
        return { rows: response.rows, receipt: response.receipt, error: undefined, text: "" };
    }

    public *commit(statement: CallerStatement): Operation<StatementOutcome> {
        const deadline = this.context.clock.now() + this.req.workClass.statementTimeoutMs;
        const failure = yield* this.begin(statement, deadline);
        if (failure !== undefined) return failure;
        const { target, connection } = this.placement!;
        const sentAt = this.group.positionSamples.readClock();
        const forwarded = yield* this.forward(statement, deadline);
        if (forwarded.err) return this.abortWithoutSlot();
        const response = forwarded.val;
        if (response === undefined) {
            this.discardConnection();
            this.context.decisions.logFailed("commit.unanswered", {
                req: statement.id,
                transaction: this.req.id,
                wrote: this.hasWritten,
                upstream: target.pool.upstream.id,
                ...describeGroup(this.group),
            });
            if (target.primaryTerm !== undefined) this.group.primaryTracker.suspect("a response from the primary was lost");
            return this.hasWritten
                ? createFailedOutcome(ErrorKind.UnknownOutcome, Diagnostics.outcomeUnknown)
                : createFailedOutcome(ErrorKind.Aborted, Diagnostics.transactionLost, "no response");
        }
        if (response.error !== undefined) return this.abort(response, true);
        this.placement = undefined;
        if (response.state === TransactionState.Idle) target.pool.returnConnection(connection);
        else target.pool.discard(connection);
        if (this.hasWritten) {
            const isConfirmed = response.applied !== undefined
                && (yield* this.context.confirmer.confirm(this.group, target.primaryTerm!, response.applied, sentAt, deadline));
            if (!isConfirmed) {
                this.context.decisions.logFailed("commit.unconfirmed", {
                    req: statement.id,
                    transaction: this.req.id,
                    upstream: target.pool.upstream.id,
                    committedIn: response.applied?.term,
                    ...describeGroup(this.group),
                });
                return createFailedOutcome(ErrorKind.UnknownOutcome, Diagnostics.outcomeUnknown);
            }
            this.req.floors.raise(this.req.workClass.service, response.applied);
        }
        return { rows: response.rows, receipt: response.receipt, error: undefined, text: "" };
    }

    /** Starts the rollback without waiting for it. The connection is not reused before the upstream confirms the rollback. */
    public rollBack(): void {
        this.isRolledBack = true;
        const placement = this.placement;
        this.placement = undefined;
        if (placement === undefined) return;
        // A command that was sent runs on after its caller has left. ROLLBACK would then get the response to that command.
        if (this.isConnectionBusy) placement.target.pool.discard(placement.connection);
        else Task.start(this.rollBackConnection(placement.target, placement.connection));
    }

    private *rollBackConnection(target: Target, connection: UpstreamConnection): Operation<void> {
        if (yield* connection.rollBack()) target.pool.returnConnection(connection);
        else target.pool.discard(connection);
    }

    /** Sends a statement in a slot. Fails with `Busy` if it was not sent because there was no slot in time. */
    private *forward(statement: CallerStatement, deadline: number): Operation<Result<UpstreamResponse | undefined, ErrorKind>> {
        const { target, connection } = this.placement!;
        const { session, workClass, tenant, abandonment } = this.req;
        const slotRequest = { session, workClass, tenant, abandonment, receivedAt: this.context.clock.now(), deadline, waitDeadline: deadline };
        const forwarded = yield* target.pool.continueTransaction(slotRequest, () => this.sendStatement(statement, connection, deadline));
        if (forwarded.err) return forwarded;
        if (forwarded.val === undefined) target.pool.recordFailure();
        else target.pool.recordResult(forwarded.val);
        return forwarded;
    }

    private *sendStatement(statement: CallerStatement, connection: UpstreamConnection, deadline: number): Operation<UpstreamResponse | undefined> {
        this.isConnectionBusy = true;
        try {
            if (!(yield* connection.applySession(this.req.session))) return undefined;
            const prepared = this.req.session.findPrepared(statement);
            const preparedName = prepared === undefined ? undefined : yield* connection.prepare(prepared);
            // Under the caller's own name, the connection may have the statement of another session.
            if (statement.kind === StatementKind.Execute && preparedName === undefined) return undefined;
            return yield* connection.run(
                { kind: CommandKind.Forward, id: statement.id, text: statement.text, name: statement.name, preparedName },
                Math.max(1, deadline - this.context.clock.now()),
            );
        }
        finally {
            this.isConnectionBusy = false;
        }
    }

    /** Rolls back because the next statement, or the COMMIT, was not sent. The upstream itself may be well. */
    private abortWithoutSlot(): StatementOutcome {
        this.discardConnection();
        return createFailedOutcome(ErrorKind.Aborted, Diagnostics.transactionLost, "no slot in time");
    }

    private abort(response: UpstreamResponse | undefined, isCommit = false): StatementOutcome {
        this.suspectPrimary(response);
        this.discardConnection();
        const mayHaveCommitted = isCommit && (response?.error === undefined || !refusalKinds.has(response.error));
        if (mayHaveCommitted && this.hasWritten) return createFailedOutcome(ErrorKind.UnknownOutcome, Diagnostics.outcomeUnknown);
        return createFailedOutcome(ErrorKind.Aborted, Diagnostics.transactionLost, response?.errorText ?? "no response");
    }

    /** Requests a check of the group if the response, or its absence, suggests that the primary may have changed. */
    private suspectPrimary(response: UpstreamResponse | undefined): void {
        if (this.placement?.target.primaryTerm === undefined) return;
        if (response === undefined) this.group.primaryTracker.suspect("a response from the primary was lost");
        else if (response.error === ErrorKind.ReadOnly) this.group.primaryTracker.suspect("the primary rejected a statement as read-only");
    }

    /** Closes the connection, which rolls back uncommitted changes. */
    private discardConnection(): void {
        if (this.placement === undefined) return;
        this.placement.target.pool.discard(this.placement.connection);
        this.placement = undefined;
    }

    /** Begins the transaction on an upstream unless it has begun already. Returns the failed outcome if no upstream could begin it. */
    private *begin(statement: CallerStatement, deadline: number): Operation<StatementOutcome | undefined> {
        if (this.placement !== undefined) return undefined;
        const waitDeadline = this.context.clock.now() + this.req.workClass.statementTimeoutMs * AttemptLimits.maxWaitFraction;
        const triedUpstreamIds = new Set<string>();
        for (let attempt = 0; attempt < AttemptLimits.maxAttempts && this.context.clock.now() < waitDeadline; attempt++) {
            if (attempt > 0) yield* sleep(this.context.clock, AttemptLimits.retryDelayMs * attempt);
            if (hasCallerLeft(this.req)) break;
            const target = yield* this.context.targets.find(this.group, this.req, triedUpstreamIds, waitDeadline);
            if (target === undefined) {
                this.context.decisions.logFailed("transaction.unplaced", { req: this.req.id, statement: statement.id, attempt, ...describeGroup(this.group) });
                break;
            }
            if (yield* this.beginAt(target, waitDeadline, deadline)) return undefined;
            triedUpstreamIds.add(target.pool.upstream.id);
            this.context.decisions.logFailed("transaction.not-begun", {
                req: this.req.id,
                statement: statement.id,
                service: this.group.service,
                ...describeTarget(target, this.context.clock.now()),
                attempt,
            });
        }
        return createFailedOutcome(ErrorKind.Aborted, Diagnostics.transactionLost, `no upstream could begin it for statement ${statement.id}`);
    }

    private *beginAt(target: Target, waitDeadline: number, deadline: number): Operation<boolean> {
        const slotRequest = { ...this.context.targets.createSlotRequest(this.req, waitDeadline), opensTransaction: true };
        const ran = yield* target.pool.run(slotRequest, connection => this.sendBegin(target, connection, deadline));
        if (ran.err) {
            if (target.primaryTerm !== undefined && ran.val !== ErrorKind.Busy) this.group.primaryTracker.suspect(`dial failed: ${ran.val}`);
            return false;
        }
        const response = ran.val;
        if (response === undefined) {
            target.pool.recordFailure();
            if (target.primaryTerm !== undefined) this.group.primaryTracker.suspect("a response from the primary was lost");
            return false;
        }
        target.pool.recordResponse(response.applied);
        if (response.error === ErrorKind.ReadOnly) this.group.primaryTracker.suspect("the primary rejected a transaction as read-only");
        if (response.state !== TransactionState.Open) return false;
        const startedAt = this.context.clock.now();
        this.context.decisions.logServed("transaction.begun", {
            req: this.req.id,
            service: this.group.service,
            ...describeTarget(target, startedAt),
            waitedMs: Math.round(startedAt - this.req.receivedAt),
        });
        return true;
    }

    private *sendBegin(target: Target, connection: UpstreamConnection, deadline: number): Operation<UpstreamResponse | undefined> {
        let response: UpstreamResponse | undefined;
        try {
            response = yield* connection.run(
                { kind: CommandKind.Begin, readOnly: this.req.readOnly, floor: target.floor },
                Math.max(1, deadline - this.context.clock.now()),
            );
        }
        finally {
            // The caller may have left meanwhile; a connection that nobody keeps would stay in its transaction.
            if (response?.state === TransactionState.Open && !this.isRolledBack) this.placement = { target, connection };
            else target.pool.discard(connection);
        }
        return response;
    }
}
