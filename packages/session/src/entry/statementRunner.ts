import { Operation } from "@vanillarouter/base/operation";
import { sleep } from "@vanillarouter/base/sleep";
import { describeGroup } from "../cluster/describeGroup";
import { ServiceGroup } from "../cluster/serviceGroup";
import { Diagnostics } from "../diagnostics";
import { ClockReading } from "../freshness/clockReading";
import { CallerStatement } from "../model/callerStatement";
import { CommandKind } from "../model/commandKind";
import { ErrorKind } from "../model/errorKind";
import { Freshness } from "../model/freshness";
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

/** A read tries another upstream after this fraction of its latency target, but not before `minReadAttemptMs`. */
const readAttemptFraction = 0.75;
const minReadAttemptMs = 300;
/**
 * An upstream that responds slowly gets this many times its recent response time. Abandoning a read in its queue would only
 * add work, because the upstream still runs it.
 */
const slowUpstreamTimeoutFactor = 4;
/** Response time that is recorded for a `Busy` error, so that reads avoid the upstream. */
const busyResponseTimeMs = 500;
/** A primary that takes longer than this to respond is suspected to have failed. */
const slowPrimaryMs = 250;

/** What an attempt on a connection led to. */
interface AttemptResult {
    /** Whether the statement was sent; false if it could not be prepared. */
    readonly isSent: boolean;
    readonly response: UpstreamResponse | undefined;
    /** Read before the statement was sent. */
    readonly sentAt: ClockReading;
}

/** Runs single statements: selects an upstream, retries what is safe to repeat and confirms writes before they are acknowledged. */
export class StatementRunner {
    private constructor(private readonly context: EntryContext) {}

    public static create(context: EntryContext): StatementRunner {
        return new StatementRunner(context);
    }

    public *run(group: ServiceGroup, req: CallerRequest, statement: CallerStatement): Operation<StatementOutcome> {
        const deadline = req.receivedAt + req.workClass.statementTimeoutMs;
        const waitDeadline = req.receivedAt + req.workClass.statementTimeoutMs * AttemptLimits.maxWaitFraction;
        const triedUpstreamIds = new Set<string>();
        let lastFailure: StatementOutcome | undefined;
        for (let attempt = 0; attempt < AttemptLimits.maxAttempts && this.context.clock.now() < waitDeadline; attempt++) {
            if (attempt > 0) yield* sleep(this.context.clock, AttemptLimits.retryDelayMs * attempt);
            const target = yield* this.context.targets.find(group, req, triedUpstreamIds, waitDeadline);
            if (hasCallerLeft(req)) return createFailedOutcome(ErrorKind.Busy, Diagnostics.callerLeft);
            if (target === undefined) {
                this.context.decisions.logFailed("statement.unplaced", {
                    req: statement.id,
                    attempt,
                    waitedMs: Math.round(this.context.clock.now() - req.receivedAt),
                    ...describeGroup(group),
                });
                return this.createNoTargetOutcome(group, req);
            }
            const isRepeated = triedUpstreamIds.has(target.pool.upstream.id);
            if (isRepeated && lastFailure?.error === ErrorKind.Busy && attempt > AttemptLimits.maxRepeatsWhenBusy) break;
            const startedAt = this.context.clock.now();
            const outcome = yield* this.runAttempt(group, req, statement, target, waitDeadline, deadline);
            this.recordAttempt(req, statement, target, outcome, attempt, startedAt);
            if (outcome.error === undefined || !this.mayRetry(req, outcome.error)) return outcome;
            lastFailure = outcome;
            if (hasCallerLeft(req)) break;
            triedUpstreamIds.add(target.pool.upstream.id);
        }
        return this.createFinalOutcome(group, req, lastFailure);
    }

    /** Counts and logs an attempt, with the reasons for its target: the primary's term, the floor and the age of the verification. */
    private recordAttempt(req: CallerRequest, statement: CallerStatement, target: Target, outcome: StatementOutcome, attempt: number, startedAt: number): void {
        const now = this.context.clock.now();
        const isDropped = outcome.error === ErrorKind.Busy && hasCallerLeft(req);
        const result = isDropped ? "abandoned" : outcome.error ?? "answered";
        const fields = {
            req: statement.id,
            service: req.workClass.service,
            ...describeTarget(target, startedAt),
            attempt,
            waitedMs: Math.round(startedAt - req.receivedAt),
            ms: Math.round(now - startedAt),
            outcome: result,
        };
        const role = target.primaryTerm === undefined ? "replica" : "primary";
        this.context.metrics.counters.add("vanillarouter_attempts_total", `service="${req.workClass.service}",role="${role}",outcome="${result}"`);
        if (outcome.error === undefined) {
            this.context.decisions.logServed("statement.run", fields);
            return;
        }
        const { use, expectedWaitMs } = target.pool.slots;
        this.context.decisions.logFailed("statement.run", { ...fields, ...use, expectedWaitMs: Math.round(expectedWaitMs) });
    }

    private createNoTargetOutcome(group: ServiceGroup, req: CallerRequest): StatementOutcome {
        if (group.findPrimary() === undefined) return createFailedOutcome(ErrorKind.Busy, Diagnostics.noPrimary, group.service);
        return createFailedOutcome(req.readOnly ? ErrorKind.Lagging : ErrorKind.Busy, Diagnostics.notFreshEnough);
    }

    private mayRetry(req: CallerRequest, error: ErrorKind): boolean {
        switch (error) {
            case ErrorKind.Busy:
            case ErrorKind.Lagging:
            case ErrorKind.ReadOnly:
            case ErrorKind.Misrouted:
            case ErrorKind.TooManyConnections:
            case ErrorKind.Other:
                return true;
            case ErrorKind.UnknownOutcome:
            case ErrorKind.Failed:
            case ErrorKind.TimedOut:
                return req.readOnly;
            default:
                return false;
        }
    }

    /**
     * Converts the last failure to the error that the caller receives. `Busy` guarantees that the statement did not run.
     * A read with an unknown outcome is reported as `Aborted`, because it changed nothing even if it ran.
     */
    private createFinalOutcome(group: ServiceGroup, req: CallerRequest, lastFailure: StatementOutcome | undefined): StatementOutcome {
        if (lastFailure === undefined || lastFailure.error === ErrorKind.Other) {
            return createFailedOutcome(ErrorKind.Busy, Diagnostics.overloaded, this.context.targets.computeRetryDelayMs(group));
        }
        if (lastFailure.error === ErrorKind.UnknownOutcome && req.readOnly) {
            return createFailedOutcome(ErrorKind.Aborted, Diagnostics.transactionLost, "no response from an upstream");
        }
        return lastFailure;
    }

    private *runAttempt(
        group: ServiceGroup,
        req: CallerRequest,
        statement: CallerStatement,
        target: Target,
        waitDeadline: number,
        deadline: number,
    ): Operation<StatementOutcome> {
        const slotRequest = this.context.targets.createSlotRequest(req, waitDeadline);
        const ran = yield* target.pool.run(slotRequest, connection => this.runOnConnection(group, req, statement, target, connection, deadline));
        if (ran.ok) return yield* this.evaluateAttempt(group, req, target, ran.val, deadline);
        if (target.primaryTerm !== undefined && ran.val !== ErrorKind.Busy) group.primaryTracker.suspect(`dial failed: ${ran.val}`);
        return this.createNotSentOutcome(group, req, ran.val === ErrorKind.TimedOut ? ErrorKind.Other : ran.val);
    }

    private createNotSentOutcome(group: ServiceGroup, req: CallerRequest, error: ErrorKind): StatementOutcome {
        if (hasCallerLeft(req)) return createFailedOutcome(ErrorKind.Busy, Diagnostics.callerLeft);
        return createFailedOutcome(error, Diagnostics.overloaded, this.context.targets.computeRetryDelayMs(group));
    }

    private *runOnConnection(
        group: ServiceGroup,
        req: CallerRequest,
        statement: CallerStatement,
        target: Target,
        connection: UpstreamConnection,
        deadline: number,
    ): Operation<AttemptResult> {
        const sentAt = group.positionSamples.readClock();
        let response: UpstreamResponse | undefined;
        let isUnused = false;
        const cancelTimer = this.startSlowPrimaryTimer(group, target);
        try {
            const preparedName = yield* this.prepare(req, statement, connection);
            if (statement.kind === StatementKind.Execute && preparedName === undefined) return { isSent: false, response, sentAt };
            isUnused = hasCallerLeft(req);
            if (isUnused) return { isSent: false, response, sentAt };
            response = yield* connection.run({
                kind: CommandKind.Forward,
                id: statement.id,
                text: statement.text,
                preparedName,
                name: statement.name,
                floor: req.readOnly ? target.floor : undefined,
            }, this.computeAttemptTimeout(req, target, deadline));
        }
        finally {
            cancelTimer();
            if (!isUnused && response?.state !== TransactionState.Idle) target.pool.discard(connection);
            else target.pool.returnConnection(connection);
        }
        return { isSent: true, response, sentAt };
    }

    private *evaluateAttempt(group: ServiceGroup, req: CallerRequest, target: Target, attempt: AttemptResult, deadline: number): Operation<StatementOutcome> {
        if (!attempt.isSent) return this.createNotSentOutcome(group, req, ErrorKind.Other);
        if (attempt.response === undefined) return this.recordLostResponse(group, target);
        return yield* this.evaluateResponse(group, req, target, attempt.response, attempt.sentAt, deadline);
    }

    private *prepare(req: CallerRequest, statement: CallerStatement, connection: UpstreamConnection): Operation<string | undefined> {
        const prepared = req.session.findPrepared(statement);
        return prepared === undefined ? undefined : yield* connection.prepare(prepared);
    }

    /** Starts a timer that suspects the primary if it is slow to respond. Returns a function that cancels the timer. */
    private startSlowPrimaryTimer(group: ServiceGroup, target: Target): () => void {
        if (target.primaryTerm === undefined) return () => {};
        return this.context.clock.startTimer(slowPrimaryMs, () => group.primaryTracker.suspect("a response from the primary is overdue"));
    }

    private computeAttemptTimeout(req: CallerRequest, target: Target, deadline: number): number {
        const remainingMs = Math.max(1, deadline - this.context.clock.now());
        if (!req.readOnly) return remainingMs;
        const slowUpstreamTimeoutMs = target.pool.responseTimes.recentMs * slowUpstreamTimeoutFactor;
        const attemptMs = Math.max(minReadAttemptMs, req.workClass.targetMs * readAttemptFraction, slowUpstreamTimeoutMs);
        // Leaves time for a second attempt only if it would get as much time as the first.
        return remainingMs >= 2 * attemptMs ? attemptMs : remainingMs;
    }

    private recordLostResponse(group: ServiceGroup, target: Target): StatementOutcome {
        target.pool.recordFailure();
        if (target.primaryTerm !== undefined) group.primaryTracker.suspect("a response from the primary was lost");
        return createFailedOutcome(ErrorKind.UnknownOutcome, Diagnostics.outcomeUnknown);
    }

    private *evaluateResponse(
        group: ServiceGroup,
        req: CallerRequest,
        target: Target,
        response: UpstreamResponse,
        sentAt: ClockReading,
        deadline: number,
    ): Operation<StatementOutcome> {
        target.pool.recordResult(response);
        target.pool.responseTimes.add(response.error === ErrorKind.Busy ? busyResponseTimeMs : this.context.clock.now() - sentAt.at);
        if (response.error !== undefined) {
            if (response.error === ErrorKind.ReadOnly) group.primaryTracker.suspect("the primary rejected a write as read-only");
            return createFailedOutcome(response.error, Diagnostics.upstreamFailed, response.errorText);
        }
        if (!req.readOnly && target.primaryTerm !== undefined) {
            if (response.applied === undefined || !(yield* this.context.confirmer.confirm(group, target.primaryTerm, response.applied, sentAt, deadline))) {
                this.context.decisions.logFailed("commit.unconfirmed", {
                    req: req.id,
                    upstream: target.pool.upstream.id,
                    committedIn: response.applied?.term,
                    ...describeGroup(group),
                });
                return createFailedOutcome(ErrorKind.UnknownOutcome, Diagnostics.outcomeUnknown);
            }
            req.floors.raise(req.workClass.service, response.applied);
        }
        else if (req.workClass.freshness === Freshness.Latest && target.verifiedAt !== undefined && response.applied?.term === target.primaryTerm) {
            // The primary was verified before the statement was sent.
            group.positionSamples.add(target.verifiedAt, response.applied!);
        }
        return { rows: response.rows, receipt: response.receipt, error: undefined, text: "" };
    }
}
