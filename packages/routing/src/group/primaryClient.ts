import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { failWith } from "@vanillarouter/base/failWith";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { computeReturnMargin } from "@vanillarouter/scheduling/computeReturnMargin";
import { Diagnostics as SchedulingDiagnostics } from "@vanillarouter/scheduling/diagnostics";
import { Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { AdmittedRequest } from "../entry/admittedRequest";
import { EntryContext } from "../entry/entryContext";
import { waitWithLimits } from "../owner/waitWithLimits";
import { KnownPrimary } from "./knownPrimary";

/** Interval at which a call in flight checks whether its primary or owner has changed, in milliseconds. */
const changeCheckIntervalMs = 25;
const initialBackoffMs = 10;
const maxBackoffMs = 160;
/** Retries that a request may make without the retry budget because the primary responded to another request. */
const maxUnbudgetedRetries = 2;

/** Failures that are caused by the request itself or its timing, so that another attempt would not help. */
const finalCodes: ReadonlySet<number> = new Set([
    Diagnostics.unknownClass.code,
    Diagnostics.unknownGroup.code,
    SchedulingDiagnostics.deadlineNotFeasible.code,
    SchedulingDiagnostics.shareExceeded.code,
    Diagnostics.requestCancelled.code,
    Diagnostics.readOnlyClass.code,
    Diagnostics.transactionLost.code,
    Diagnostics.statementRejected.code,
]);

/** The outcome of a call to the owner of a primary. */
interface CallOutcome<T> {
    readonly result: Result<T, Failure>;
    /** Whether an attempt with unknown outcome may have run, regardless of `result`. */
    readonly isUnresolved: boolean;
}

/** One call to the owner of a primary, with the time limit of the call in milliseconds. */
type PrimaryCall<T> = (primary: KnownPrimary, timeoutMs: number) => Operation<Result<T, Failure>>;

/**
 * Calls the owner of a group's primary, and retries after a failure where that is safe and useful.
 *
 * A new primary or owner is tried immediately; every request does so at most once per change, which bounds the load.
 * Any other retry needs a token of the group's retry budget, or a response of the primary to another request since
 * the failure.
 */
export class PrimaryClient {
    private constructor(private readonly context: EntryContext) {}

    public static create(context: EntryContext): PrimaryClient {
        return new PrimaryClient(context);
    }

    /**
     * Repeats the call until it succeeds, fails permanently or reaches the deadline. Once an attempt may have run, no other is
     * started in the last `reserveMs` before the deadline. `retryUnknown` says whether an attempt with unknown outcome may be
     * followed by another.
     */
    public *call<T>(request: AdmittedRequest, reserveMs: number, retryUnknown: boolean, call: PrimaryCall<T>): Operation<CallOutcome<T>> {
        const { clock, finder, budgets } = this.context;
        const group = request.group.name;
        let isUnresolved = false;
        let failure = createFailure(Diagnostics.noPrimary, RunOutcome.DidNotRun, group);
        for (let attempt = 0;; attempt++) {
            const remainingMs = request.deadline - clock.now() - (isUnresolved ? reserveMs : 0);
            if (remainingMs <= 0) return { result: failWith(failure), isUnresolved };
            const primary = finder.find(group);
            if (primary === undefined) {
                yield* finder.waitUntil(() => finder.find(group) !== undefined, remainingMs);
                continue;
            }
            const result = yield* this.callOnce(request, primary, call);
            if (result.ok) {
                budgets.getOrCreate(group).recordSuccess();
                finder.recordResponse(group);
                return { result, isUnresolved: false };
            }
            failure = result.val;
            finder.learnFromFailure(failure);
            if (failure.code === Diagnostics.requestCancelled.code) return { result, isUnresolved: false };
            isUnresolved ||= failure.outcome === RunOutcome.Unknown;
            if (failure.outcome === RunOutcome.Unknown ? !retryUnknown : this.isFinal(failure)) return { result, isUnresolved };
            if (!(yield* this.waitForRetry(request, primary, attempt, isUnresolved ? reserveMs : 0))) return { result, isUnresolved };
        }
    }

    /** Makes one call. Stops waiting for its response when the primary or its owner changes. */
    public *callOnce<T>(request: AdmittedRequest, primary: KnownPrimary, call: PrimaryCall<T>): Operation<Result<T, Failure>> {
        return yield* this.callUntilStopped(request, primary, call, () => this.context.finder.hasPrimaryOrOwnerChanged(request.group.name, primary));
    }

    /**
     * Makes one call of a transaction. Stops waiting for its response when the primary changes. A change of owner is ignored:
     * an owner that is leaving finishes its open transactions, and the link to a lost owner breaks.
     */
    public *callInTransaction<T>(request: AdmittedRequest, primary: KnownPrimary, call: PrimaryCall<T>): Operation<Result<T, Failure>> {
        return yield* this.callUntilStopped(request, primary, call, () => this.context.finder.hasPrimaryChanged(request.group.name, primary));
    }

    private *callUntilStopped<T>(
        request: AdmittedRequest,
        primary: KnownPrimary,
        call: PrimaryCall<T>,
        shouldStopWaiting: () => boolean,
    ): Operation<Result<T, Failure>> {
        const { clock } = this.context;
        const limitMs = request.deadline - clock.now();
        const timeoutMs = limitMs - computeReturnMargin(limitMs);
        const result = yield* waitWithLimits(
            clock,
            { limitMs, checkIntervalMs: changeCheckIntervalMs, shouldStopWaiting },
            call(primary, timeoutMs),
        );
        return result ?? failWith(createFailure(Diagnostics.timedOut, RunOutcome.Unknown, Math.round(limitMs)));
    }

    private isFinal(failure: Failure): boolean {
        return failure.outcome === RunOutcome.Ran || finalCodes.has(failure.code);
    }

    /** Waits until another attempt is allowed. Returns false if the request runs out of time first. */
    private *waitForRetry(request: AdmittedRequest, calledPrimary: KnownPrimary, attempt: number, reserveMs: number): Operation<boolean> {
        const { clock, finder, budgets, metrics } = this.context;
        const group = request.group.name;
        const failedAt = clock.now();
        const shouldRetry = (): boolean =>
            finder.hasPrimaryOrOwnerChanged(group, calledPrimary) || (attempt < maxUnbudgetedRetries && finder.hasRespondedSince(group, failedAt));
        const remainingMs = request.deadline - reserveMs - failedAt;
        if (remainingMs <= 0) return false;
        if (!budgets.getOrCreate(group).tryTake()) return yield* finder.waitUntil(shouldRetry, remainingMs);
        metrics.retries++;
        yield* finder.waitUntil(shouldRetry, Math.min(remainingMs, initialBackoffMs * 2 ** attempt, maxBackoffMs));
        return true;
    }
}
