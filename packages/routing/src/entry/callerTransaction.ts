import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { failWith } from "@vanillarouter/base/failWith";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { Diagnostics as SchedulingDiagnostics } from "@vanillarouter/scheduling/diagnostics";
import { Err, Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { KnownPrimary } from "../group/knownPrimary";
import { PrimaryClient } from "../group/primaryClient";
import { OwnerResponse } from "../owner/ownerResponse";
import { waitWithLimits } from "../owner/waitWithLimits";
import { AdmittedRequest } from "./admittedRequest";
import { commitsImplicitly } from "./commitsImplicitly";
import { EntryContext } from "./entryContext";
import { EntryWrites } from "./entryWrites";

/** Shortest time for which an owner is asked to keep a transaction open, in milliseconds. */
const minTransactionLifetimeMs = 10_000;
const rollbackTimeoutMs = 1000;

/** Failures of a statement after which its transaction stays open, as in a MySQL server. */
const nonAbortingCodes: ReadonlySet<number> = new Set([
    Diagnostics.statementRejected.code,
    SchedulingDiagnostics.deadlineNotFeasible.code,
    SchedulingDiagnostics.shareExceeded.code,
]);

/**
 * A transaction of a caller, bound to the owner and the term in which it began. It takes no effect before COMMIT is sent,
 * so every earlier failure means that it did not run.
 */
export class CallerTransaction {
    private sequence = 0;
    private aborted = false;

    private constructor(
        private readonly context: EntryContext,
        private readonly primaryClient: PrimaryClient,
        private readonly id: string,
        private readonly primary: KnownPrimary,
        public readonly group: string,
    ) {}

    /** Opens a transaction. The request id of BEGIN becomes the id of the transaction. */
    public static *begin(context: EntryContext, primaryClient: PrimaryClient, request: AdmittedRequest): Operation<Result<CallerTransaction, Failure>> {
        const { req, workClass, group } = request;
        let lastAttempt: CallerTransaction | undefined;
        const { result } = yield* primaryClient.call(request, 0, false, function*(primary, timeoutMs): Operation<Result<CallerTransaction, Failure>> {
            const transaction = new CallerTransaction(context, primaryClient, req.requestId, primary, group.name);
            lastAttempt = transaction;
            const beginResult = yield* primary.owner.begin({
                requestId: req.requestId,
                upstream: primary.upstream,
                group: group.name,
                className: workClass.name,
                rank: workClass.rank,
                franchisee: req.franchisee,
                term: primary.term,
                timeoutMs: Math.max(timeoutMs, minTransactionLifetimeMs),
            });
            return beginResult.map(() => transaction);
        });
        if (result.err && result.val.outcome === RunOutcome.Unknown) yield* lastAttempt!.rollBack();
        return result.mapErr(failure => ({ ...failure, outcome: RunOutcome.DidNotRun }));
    }

    /** Upstream that runs the transaction. */
    public get upstream(): string {
        return this.primary.upstream;
    }

    public *execute(request: AdmittedRequest): Operation<Result<StatementResult, Failure>> {
        if (this.aborted) return this.failAborted();
        const refusal = this.findRefusal(request);
        if (refusal !== undefined) return failWith(refusal);
        const sequence = this.sequence++;
        const result = yield* this.primaryClient.callInTransaction(request, this.primary, (primary, timeoutMs) =>
            primary.owner.executeInTransaction({
                transactionId: this.id,
                upstream: primary.upstream,
                sequence,
                sql: request.req.sql,
                timeoutMs,
            }));
        if (result.ok || nonAbortingCodes.has(result.val.code)) return result;
        this.context.finder.learnFromFailure(result.val);
        this.aborted = true;
        yield* this.rollBack();
        return failWith({ ...result.val, outcome: RunOutcome.DidNotRun });
    }

    /** Commits the transaction. If the response is lost, the outcome is looked up in the group under the transaction's id. */
    public *commit(request: AdmittedRequest, writes: EntryWrites): Operation<Result<OwnerResponse, Failure>> {
        if (this.aborted) return this.failAborted();
        const result = yield* this.primaryClient.callInTransaction(
            request,
            this.primary,
            (primary, timeoutMs) => primary.owner.endTransaction({ transactionId: this.id, upstream: primary.upstream, commit: true, timeoutMs }),
        );
        if (result.ok) return result;
        this.context.finder.learnFromFailure(result.val);
        if (result.val.outcome === RunOutcome.Unknown) return yield* writes.resolve(request, this.id);
        yield* this.rollBack();
        return result;
    }

    /** Rolls back the transaction. Failures are ignored: the owner rolls back a transaction that receives no more requests. */
    public *rollBack(): Operation<void> {
        const limits = { limitMs: rollbackTimeoutMs, checkIntervalMs: rollbackTimeoutMs, shouldStopWaiting: () => false };
        const rollback = { transactionId: this.id, upstream: this.primary.upstream, commit: false, timeoutMs: rollbackTimeoutMs };
        yield* waitWithLimits(this.context.clock, limits, this.primary.owner.endTransaction(rollback));
    }

    private findRefusal(request: AdmittedRequest): Failure | undefined {
        if (request.group.name !== this.group) {
            return createFailure(Diagnostics.otherGroupInTransaction, RunOutcome.DidNotRun, this.group, request.group.name);
        }
        if (!commitsImplicitly(request.req.sql)) return undefined;
        return createFailure(Diagnostics.implicitCommit, RunOutcome.DidNotRun, request.req.sql.trim().split(/\s/, 1)[0]!);
    }

    private failAborted(): Err<Failure> {
        return failWith(createFailure(Diagnostics.transactionAborted, RunOutcome.DidNotRun, this.id));
    }
}
