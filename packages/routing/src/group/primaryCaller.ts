import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { failWith } from "@vanillarouter/base/failWith";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { AdmittedRequest } from "../entry/admittedRequest";
import { EntryContext } from "../entry/entryContext";
import { watchOperation } from "../owner/watchOperation";
import { measureReturnMargin } from "../scheduling/measureReturnMargin";
import { KnownPrimary } from "./knownPrimary";

/** Interval at which a request in flight checks that its primary and owner are still the known ones, in milliseconds. */
const moveCheckMs = 25;
const firstBackoffMs = 10;
const longestBackoffMs = 160;
/** Retries that a request makes because others were answered, apart from the retry budget. */
const evidenceRetryLimit = 2;

/** Refusals that say that the request itself is at fault or came at the wrong time; another attempt would not help. */
const finalCodes: ReadonlySet<number> = new Set([
    Diagnostics.unknownClass.code,
    Diagnostics.unknownGroup.code,
    Diagnostics.deadlineNotFeasible.code,
    Diagnostics.shareExceeded.code,
    Diagnostics.requestCancelled.code,
    Diagnostics.readOnlyClass.code,
    Diagnostics.transactionLost.code,
    Diagnostics.statementRejected.code,
]);

/** How a call to the owner of a primary ended. */
interface CallOutcome<T> {
    readonly result: Result<T, Failure>;
    /** Whether some attempt may have run whatever `result` says. */
    readonly isOpen: boolean;
}

/** One call to the owner of a primary, with the time left for it in milliseconds. */
type PrimaryCall<T> = (primary: KnownPrimary, timeoutMs: number) => Operation<Result<T, Failure>>;

/**
 * Calls the owner of a group's primary, and again after a failure where that is safe and worth while.
 *
 * A new primary or owner is tried at once: every request does so at most once per change, which bounds the load.
 * Any other retry needs the group's budget or an answer that another request got meanwhile.
 */
export class PrimaryCaller {
    private constructor(private readonly context: EntryContext) {}

    public static create(context: EntryContext): PrimaryCaller {
        return new PrimaryCaller(context);
    }

    /** Repeats the call until it succeeds, fails for good or `reserveMs` before the deadline while it may have run. */
    public *call<T>(request: AdmittedRequest, reserveMs: number, retryUnknown: boolean, call: PrimaryCall<T>): Operation<CallOutcome<T>> {
        const { clock, finder, budgets } = this.context;
        const group = request.group.name;
        let isOpen = false;
        let failure = createFailure(Diagnostics.noPrimary, RunOutcome.DidNotRun, group);
        for (let attempt = 0;; attempt++) {
            const leftMs = request.deadline - clock.now() - (isOpen ? reserveMs : 0);
            if (leftMs <= 0) return { result: failWith(failure), isOpen };
            const primary = finder.find(group);
            if (primary === undefined) {
                yield* finder.waitUntil(() => finder.find(group) !== undefined, leftMs);
                continue;
            }
            const result = yield* this.watchCall(request, primary, call);
            if (result.ok) {
                budgets.obtain(group).recordSuccess();
                finder.recordAnswer(group);
                return { result, isOpen: false };
            }
            failure = result.val;
            finder.learn(failure);
            if (failure.code === Diagnostics.requestCancelled.code) return { result, isOpen: false };
            isOpen ||= failure.outcome === RunOutcome.Unknown;
            if (failure.outcome === RunOutcome.Unknown ? !retryUnknown : this.isFinal(failure)) return { result, isOpen };
            if (!(yield* this.awaitRetry(request, primary, attempt, isOpen ? reserveMs : 0))) return { result, isOpen };
        }
    }

    /** Makes one call and stops waiting when the primary or its owner has changed meanwhile. */
    public *watchCall<T>(request: AdmittedRequest, primary: KnownPrimary, call: PrimaryCall<T>): Operation<Result<T, Failure>> {
        return yield* this.watch(request, primary, call, () => this.context.finder.hasMoved(request.group.name, primary));
    }

    /**
     * Makes one call of a transaction and stops waiting when the primary has changed meanwhile. An owner that is leaving
     * finishes the transactions that it has begun; one that is lost breaks the link.
     */
    public *watchTransactionCall<T>(request: AdmittedRequest, primary: KnownPrimary, call: PrimaryCall<T>): Operation<Result<T, Failure>> {
        return yield* this.watch(request, primary, call, () => this.context.finder.isReplaced(request.group.name, primary));
    }

    private *watch<T>(
        request: AdmittedRequest,
        primary: KnownPrimary,
        call: PrimaryCall<T>,
        isHopeless: () => boolean,
    ): Operation<Result<T, Failure>> {
        const { clock } = this.context;
        const limitMs = request.deadline - clock.now();
        const timeoutMs = limitMs - measureReturnMargin(limitMs);
        const result = yield* watchOperation(clock, { limitMs, checkMs: moveCheckMs, isHopeless }, call(primary, timeoutMs));
        return result ?? failWith(createFailure(Diagnostics.timedOut, RunOutcome.Unknown, Math.round(limitMs)));
    }

    private isFinal(failure: Failure): boolean {
        return failure.outcome === RunOutcome.Ran || finalCodes.has(failure.code);
    }

    /** Waits until another attempt is worth while. Returns whether it is. */
    private *awaitRetry(request: AdmittedRequest, seen: KnownPrimary, attempt: number, reserveMs: number): Operation<boolean> {
        const { clock, finder, budgets, metrics } = this.context;
        const group = request.group.name;
        const failedAt = clock.now();
        const hasNews = (): boolean => finder.hasMoved(group, seen) || (attempt < evidenceRetryLimit && finder.hasAnsweredSince(group, failedAt));
        const leftMs = request.deadline - reserveMs - failedAt;
        if (leftMs <= 0) return false;
        if (!budgets.obtain(group).tryTake()) return yield* finder.waitUntil(hasNews, leftMs);
        metrics.retries++;
        yield* finder.waitUntil(hasNews, Math.min(leftMs, firstBackoffMs * 2 ** attempt, longestBackoffMs));
        return true;
    }
}
