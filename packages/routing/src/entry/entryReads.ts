import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { failWith } from "@vanillarouter/base/failWith";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { sleep } from "@vanillarouter/base/sleep";
import { computeReturnMargin } from "@vanillarouter/scheduling/computeReturnMargin";
import { Diagnostics as SchedulingDiagnostics } from "@vanillarouter/scheduling/diagnostics";
import { Ok, Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { ReadChoice } from "../freshness/readChoice";
import { PrimaryClient } from "../group/primaryClient";
import { OwnerResponse } from "../owner/ownerResponse";
import { waitWithLimits } from "../owner/waitWithLimits";
import { AdmittedRequest } from "./admittedRequest";
import { EntryContext } from "./entryContext";
import { SessionFloors } from "./sessionFloors";
import { StatementKind } from "./statementKind";

/** A read is sent to another upstream if the first one has not responded after this multiple of the expected time. */
const rerouteDelayFactor = 4;
/**
 * Smallest share of a read's remaining time that passes before it is sent to another upstream. Without it, an upstream
 * whose queue has just grown would be taken for one that does not respond.
 */
const minRerouteDelayShare = 0.25;
/** Longest delay before the upstreams of a group are tried again, in milliseconds. */
const maxRoundDelayMs = 20;
/** A replica that lacks a proof of freshness is avoided for this share of the allowed age, up to this maximum. */
const freshnessBackoffShare = 0.25;
const maxFreshnessBackoffMs = 500;

/** Refusals that do not indicate a fault of the upstream. */
const refusalCodes: ReadonlySet<number> = new Set([
    Diagnostics.statementRejected.code,
    SchedulingDiagnostics.deadlineNotFeasible.code,
    SchedulingDiagnostics.shareExceeded.code,
]);

/** The floor of a read, and the time since which this VM has known it. */
interface ReadFloor {
    readonly position: LogPosition | undefined;
    readonly knownSince: number;
}

/** Runs reads on the upstreams that the read router chooses. */
export class EntryReads {
    private constructor(private readonly context: EntryContext, private readonly primaryClient: PrimaryClient) {}

    public static create(context: EntryContext, primaryClient: PrimaryClient): EntryReads {
        return new EntryReads(context, primaryClient);
    }

    /**
     * Runs a read on an upstream that has applied the session's floor. An upstream that cannot serve the read is excluded
     * until all have been tried; a further round takes a token of the retry budget. A read that is refused because of an
     * overload or an invalid statement is not tried again.
     */
    public *execute(request: AdmittedRequest, floors: SessionFloors): Operation<Result<OwnerResponse, Failure>> {
        const group = request.group.name;
        if (floors.needsConfirmation(group)) {
            const confirmed = yield* this.confirmFloor(request, floors);
            if (confirmed.err) return confirmed;
        }
        const floor = { position: floors.find(group), knownSince: floors.findKnownSince(group) };
        const result = yield* this.tryUpstreams(request, floor);
        if (result.ok) this.context.budgets.getOrCreate(group).recordSuccess();
        return result;
    }

    private *tryUpstreams(request: AdmittedRequest, floor: ReadFloor): Operation<Result<OwnerResponse, Failure>> {
        const { clock, router } = this.context;
        const excluded = new Set<string>();
        let failure = createFailure(Diagnostics.noPrimary, RunOutcome.DidNotRun, request.group.name);
        let mayHaveRun = false;
        while (clock.now() < request.deadline) {
            const choice = router.choose(request, floor, excluded);
            if (choice === undefined) {
                if (!(yield* this.waitForNextRound(request, excluded))) break;
                continue;
            }
            const sentAt = clock.now();
            const result = yield* this.send(request, choice, floor, excluded);
            if (result.ok) return result;
            failure = result.val;
            mayHaveRun ||= failure.outcome !== RunOutcome.DidNotRun;
            excluded.add(choice.upstream);
            this.recordFailure(request, choice, floor, failure, sentAt);
            // A read that is refused because of an overload is not sent to another upstream: that would spread an overload of the
            // replicas to the primary.
            if (this.isRefusal(failure)) break;
        }
        // An attempt whose response was lost may still run, so a later refusal must not be reported as "did not run".
        return failWith(mayHaveRun && failure.outcome === RunOutcome.DidNotRun ? { ...failure, outcome: RunOutcome.Unknown } : failure);
    }

    private *send(
        request: AdmittedRequest,
        choice: ReadChoice,
        floor: ReadFloor,
        excluded: ReadonlySet<string>,
    ): Operation<Result<OwnerResponse, Failure>> {
        const { clock, router } = this.context;
        if (choice.waitMs > 0) yield* sleep(clock, choice.waitMs);
        const sentAt = clock.now();
        const limitMs = request.deadline - sentAt;
        const estimates = router.getOrCreateEstimates(choice.upstream);
        const checkIntervalMs = Math.max(minRerouteDelayShare * limitMs, rerouteDelayFactor * (choice.expectedMs - choice.waitMs));
        const shouldStopWaiting = (): boolean => this.shouldReroute(request, choice, floor, excluded, sentAt);
        estimates.startRequest();
        try {
            const result = yield* waitWithLimits(
                clock,
                { limitMs, checkIntervalMs, shouldStopWaiting },
                this.callOwner(request, choice, floor, limitMs),
            );
            if (result === undefined) return failWith(createFailure(Diagnostics.timedOut, RunOutcome.Unknown, Math.round(clock.now() - sentAt)));
            if (result.ok) this.recordResponse(request, choice, result.val, clock.now() - sentAt);
            return result;
        }
        finally {
            estimates.endRequest();
        }
    }

    private *callOwner(request: AdmittedRequest, choice: ReadChoice, floor: ReadFloor, timeoutMs: number): Operation<Result<OwnerResponse, Failure>> {
        const { req, workClass } = request;
        const result = yield* choice.owner.execute({
            requestId: req.requestId,
            upstream: choice.upstream,
            group: request.group.name,
            className: workClass.name,
            rank: workClass.rank,
            franchisee: req.franchisee,
            kind: StatementKind.Read,
            sql: req.sql,
            timeoutMs: timeoutMs - computeReturnMargin(timeoutMs),
            floor: floor.position,
            maxAgeMs: workClass.maxAgeMs ?? 0,
            repeatable: true,
        });
        return result.ok ? this.verifyResponse(request, choice, floor, result.val) : result;
    }

    /** Checks that a response matches its request, independently of the checks by the owner and the upstream. */
    private verifyResponse(request: AdmittedRequest, choice: ReadChoice, floor: ReadFloor, response: OwnerResponse): Result<OwnerResponse, Failure> {
        if (response.requestId !== request.req.requestId) {
            return failWith(createFailure(Diagnostics.outcomeUnknown, RunOutcome.Unknown, request.req.requestId));
        }
        if (floor.position !== undefined && compareLogPositions(response.at, floor.position) < 0) {
            const formattedFloor = `${floor.position.term}.${floor.position.position}`;
            return failWith(createFailure(Diagnostics.floorNotApplied, RunOutcome.Ran, choice.upstream, formattedFloor));
        }
        return Ok(response);
    }

    private recordResponse(request: AdmittedRequest, choice: ReadChoice, response: OwnerResponse, elapsedMs: number): void {
        const { router, metrics } = this.context;
        router.recordResponse(request.group.name, response.load, response.at, elapsedMs);
        if (choice.isPrimary) router.recordLogEntry(request.group.name, response.at);
        else metrics.replicaReads++;
    }

    private recordFailure(request: AdmittedRequest, choice: ReadChoice, floor: ReadFloor, failure: Failure, sentAt: number): void {
        const { clock, finder, router } = this.context;
        const estimates = router.getOrCreateEstimates(choice.upstream);
        finder.learnFromFailure(failure);
        if (failure.code === Diagnostics.floorNotApplied.code) estimates.recordMissedFloor(clock.now() - floor.knownSince);
        else if (failure.code === Diagnostics.notFreshEnough.code) {
            const backoffMs = Math.min(maxFreshnessBackoffMs, freshnessBackoffShare * (request.workClass.maxAgeMs ?? 0));
            estimates.recordNotFresh(backoffMs, clock.now());
        }
        else if (this.isRefusal(failure)) estimates.recordRefusal(clock.now());
        else if (estimates.lastResponseAt < sentAt) estimates.recordFailure(clock.now());
    }

    private isRefusal(failure: Failure): boolean {
        return refusalCodes.has(failure.code);
    }

    /**
     * Whether to send the read to another upstream although this one may still respond. Unless the owner has changed, this
     * takes a token of the retry budget.
     */
    private shouldReroute(request: AdmittedRequest, choice: ReadChoice, floor: ReadFloor, excluded: ReadonlySet<string>, sentAt: number): boolean {
        const { router, budgets } = this.context;
        if (router.hasOwnerChanged(choice)) return true;
        // An upstream that responds to other requests still has the read in its queue; sending the read elsewhere would add to the load.
        if (router.getOrCreateEstimates(choice.upstream).lastResponseAt > sentAt) return false;
        const tried = new Set([...excluded, choice.upstream]);
        const alternative = router.choose(request, floor, tried);
        if (alternative === undefined || alternative.isPrimary) return false;
        return budgets.getOrCreate(request.group.name).tryTake();
    }

    /** Waits before the upstreams are tried again. Returns false if the deadline passed before another round was allowed. */
    private *waitForNextRound(request: AdmittedRequest, excluded: Set<string>): Operation<boolean> {
        const { clock, finder, budgets, metrics } = this.context;
        const group = request.group.name;
        const remainingMs = request.deadline - clock.now();
        const primary = finder.find(group);
        const hasChanged = (): boolean => primary === undefined ? finder.find(group) !== undefined : finder.hasPrimaryOrOwnerChanged(group, primary);
        if (excluded.size > 0 && !budgets.getOrCreate(group).tryTake()) {
            if (!(yield* finder.waitUntil(hasChanged, remainingMs))) return false;
        }
        else {
            yield* finder.waitUntil(hasChanged, Math.min(maxRoundDelayMs, remainingMs));
            if (excluded.size > 0) metrics.retries++;
        }
        excluded.clear();
        return true;
    }

    /** Raises the floor to the confirmed position of the primary, which no log entry acknowledged so far can exceed. */
    private *confirmFloor(request: AdmittedRequest, floors: SessionFloors): Operation<Result<void, Failure>> {
        const { clock, router } = this.context;
        const group = request.group.name;
        const { result } = yield* this.primaryClient.call(
            request,
            0,
            true,
            (primary, timeoutMs) => primary.owner.confirmPosition(group, primary.upstream, timeoutMs),
        );
        if (result.err) return failWith({ ...createFailure(Diagnostics.floorNotConfirmed, RunOutcome.DidNotRun, group), details: result.val });
        router.recordLogEntry(group, result.val.position);
        floors.raise(group, result.val.position, clock.now());
        return Ok.EMPTY;
    }
}
