import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { failWith } from "@vanillarouter/base/failWith";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { Err, Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { KnownPrimary } from "../group/knownPrimary";
import { PrimaryCaller } from "../group/primaryCaller";
import { OwnerAnswer } from "../owner/ownerAnswer";
import { watchOperation } from "../owner/watchOperation";
import { AdmittedRequest } from "./admittedRequest";
import { commitsImplicitly } from "./commitsImplicitly";
import { EntryContext } from "./entryContext";
import { EntryWrites } from "./entryWrites";

/** Time that an owner keeps a transaction open, in milliseconds. */
const lifetimeMs = 10_000;
const rollbackTimeoutMs = 1000;

/** Failures of a statement after which its transaction goes on, as it does in a MySQL server. */
const harmlessCodes: ReadonlySet<number> = new Set([
    Diagnostics.statementRejected.code,
    Diagnostics.deadlineNotFeasible.code,
    Diagnostics.shareExceeded.code,
]);

/**
 * A transaction of a caller, bound to the owner and the term in which it began. Nothing of it can take effect before
 * COMMIT is sent, so every failure up to then means that it did not run.
 */
export class CallerTransaction {
    private sequence = 0;
    private aborted = false;

    private constructor(
        private readonly context: EntryContext,
        private readonly caller: PrimaryCaller,
        private readonly id: string,
        private readonly primary: KnownPrimary,
        public readonly group: string,
    ) {}

    /** Opens a transaction whose id is that of the BEGIN request. */
    public static *begin(context: EntryContext, caller: PrimaryCaller, request: AdmittedRequest): Operation<Result<CallerTransaction, Failure>> {
        const { req, workClass, group } = request;
        let last: CallerTransaction | undefined;
        const { result } = yield* caller.call(request, 0, false, function*(primary, timeoutMs): Operation<Result<CallerTransaction, Failure>> {
            const transaction = new CallerTransaction(context, caller, req.requestId, primary, group.name);
            last = transaction;
            const begun = yield* primary.owner.begin({
                requestId: req.requestId,
                upstream: primary.upstream,
                group: group.name,
                className: workClass.name,
                rank: workClass.rank,
                franchisee: req.franchisee,
                term: primary.term,
                timeoutMs: Math.max(timeoutMs, lifetimeMs),
            });
            return begun.map(() => transaction);
        });
        if (result.err && result.val.outcome === RunOutcome.Unknown) yield* last!.rollBack();
        return result.mapErr(failure => ({ ...failure, outcome: RunOutcome.DidNotRun }));
    }

    /** Upstream that runs the transaction. */
    public get upstream(): string {
        return this.primary.upstream;
    }

    public *execute(request: AdmittedRequest): Operation<Result<StatementResult, Failure>> {
        if (this.aborted) return this.refuseAborted();
        const refusal = this.findRefusal(request);
        if (refusal !== undefined) return failWith(refusal);
        const sequence = this.sequence++;
        const result = yield* this.caller.watchTransactionCall(request, this.primary, (primary, timeoutMs) =>
            primary.owner.executeInTransaction({
                transactionId: this.id,
                upstream: primary.upstream,
                sequence,
                sql: request.req.sql,
                timeoutMs,
            }));
        if (result.ok || harmlessCodes.has(result.val.code)) return result;
        this.context.finder.learn(result.val);
        this.aborted = true;
        yield* this.rollBack();
        return failWith({ ...result.val, outcome: RunOutcome.DidNotRun });
    }

    /** Commits. A lost answer is asked of the group under the id of the transaction. */
    public *commit(request: AdmittedRequest, writes: EntryWrites): Operation<Result<OwnerAnswer, Failure>> {
        if (this.aborted) return this.refuseAborted();
        const result = yield* this.caller.watchTransactionCall(
            request,
            this.primary,
            (primary, timeoutMs) => primary.owner.endTransaction({ transactionId: this.id, upstream: primary.upstream, commit: true, timeoutMs }),
        );
        if (result.ok) return result;
        this.context.finder.learn(result.val);
        if (result.val.outcome === RunOutcome.Unknown) return yield* writes.resolve(request, this.id);
        yield* this.rollBack();
        return result;
    }

    /** Rolls back. A failure needs no report: the owner rolls back a transaction that it does not hear of. */
    public *rollBack(): Operation<void> {
        const patience = { limitMs: rollbackTimeoutMs, checkMs: rollbackTimeoutMs, isHopeless: () => false };
        const end = { transactionId: this.id, upstream: this.primary.upstream, commit: false, timeoutMs: rollbackTimeoutMs };
        yield* watchOperation(this.context.clock, patience, this.primary.owner.endTransaction(end));
    }

    private findRefusal(request: AdmittedRequest): Failure | undefined {
        if (request.group.name !== this.group) {
            return createFailure(Diagnostics.otherGroupInTransaction, RunOutcome.DidNotRun, this.group, request.group.name);
        }
        if (!commitsImplicitly(request.req.sql)) return undefined;
        return createFailure(Diagnostics.implicitCommit, RunOutcome.DidNotRun, request.req.sql.trim().split(/\s/, 1)[0]!);
    }

    private refuseAborted(): Err<Failure> {
        return failWith(createFailure(Diagnostics.transactionAborted, RunOutcome.DidNotRun, this.id));
    }
}
