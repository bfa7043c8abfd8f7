import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { sleep } from "@vanillarouter/base/sleep";
import { DecayingMean } from "@vanillarouter/scheduling/decayingMean";
import { SlotRequest } from "@vanillarouter/scheduling/slotRequest";
import { Err, Ok, Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { UpstreamResponse } from "../group/upstreamResponse";
import { OutcomeResolver } from "../outcomes/outcomeResolver";
import { OwnerContext } from "./ownerContext";
import { OwnerRequest } from "./ownerRequest";

/** Fraction of a request's timeout reserved for recording a cancellation after a lost response, and its bounds in milliseconds. */
const reservedFraction = 0.25;
const minReserveMs = 10;
const maxReserveMs = 500;
/** Delay before a retry with the same request id, in milliseconds. */
const retryDelayMs = 10;

/** Executes single writes on a primary at most once, and acknowledges them only when a majority holds them. */
export class WriteExecutor {
    private readonly confirmationMs = DecayingMean.create();

    private constructor(private readonly context: OwnerContext, private readonly resolver: OutcomeResolver) {}

    public static create(context: OwnerContext, resolver: OutcomeResolver): WriteExecutor {
        return new WriteExecutor(context, resolver);
    }

    /** Expected time between the release of a write's slot and its acknowledgement, in milliseconds. */
    public get expectedConfirmationMs(): number {
        return this.confirmationMs.value;
    }

    public *execute(req: OwnerRequest, slotRequest: SlotRequest): Operation<Result<UpstreamResponse, Failure>> {
        // After an attempt with an unknown outcome, a refusal of a later attempt does not settle the request's outcome; only the group's record does.
        let mayHaveRun = false;
        for (let attempt = 0;; attempt++) {
            const term = this.findTerm(req);
            if (term === undefined) return mayHaveRun ? this.resolver.failUnknown(req.requestId) : this.refuse(req);
            const response = yield* this.attempt(req, slotRequest, term, attempt);
            if (response.ok) return yield* this.waitForMajority(req, response.val, term, slotRequest.deadline);
            if (response.val.code === Diagnostics.requestCancelled.code) break;
            if (response.val.outcome !== RunOutcome.Unknown && !mayHaveRun) return response;
            if (response.val.outcome !== RunOutcome.Unknown || !this.hasTimeToRetry(req, slotRequest)) break;
            mayHaveRun = true;
            yield* sleep(this.context.clock, retryDelayMs);
        }
        return yield* this.resolver.resolve(req.requestId, slotRequest.deadline);
    }

    private *attempt(req: OwnerRequest, slotRequest: SlotRequest, term: number, attempt: number): Operation<Result<UpstreamResponse, Failure>> {
        const { scheduler, runner } = this.context;
        const run = (): Operation<Result<UpstreamResponse, Failure>> =>
            runner.run(req.className, this.computeAttemptDeadline(req, slotRequest), attempt, connection => connection.write(req.sql, term, req.requestId));
        const scheduled = yield* scheduler.run({ ...slotRequest, continuesWork: attempt > 0 }, run);
        return scheduled.ok ? scheduled.val : scheduled;
    }

    /** Deadline of one attempt. A write that got its slot late still has half of the remaining time. */
    private computeAttemptDeadline(req: OwnerRequest, slotRequest: SlotRequest): number {
        const now = this.context.clock.now();
        return Math.max(slotRequest.deadline - this.computeReserveMs(req), now + (slotRequest.deadline - now) / 2);
    }

    private hasTimeToRetry(req: OwnerRequest, slotRequest: SlotRequest): boolean {
        return this.context.clock.now() + retryDelayMs < slotRequest.deadline - this.computeReserveMs(req);
    }

    private computeReserveMs(req: OwnerRequest): number {
        return Math.min(Math.max(req.timeoutMs * reservedFraction, minReserveMs), maxReserveMs, req.timeoutMs / 2);
    }

    /** Waits until a majority holds the write's log entry, without occupying a slot. */
    private *waitForMajority(req: OwnerRequest, response: UpstreamResponse, term: number, deadline: number): Operation<Result<UpstreamResponse, Failure>> {
        const startedAt = this.context.clock.now();
        this.context.watch.recordApplied(response.at);
        if (!(yield* this.resolver.waitForMajority(response.at, term, deadline))) return this.resolver.failUnknown(req.requestId);
        this.confirmationMs.record(this.context.clock.now() - startedAt);
        return Ok(response);
    }

    /**
     * Term for the next attempt: the one in which the upstream is primary; undefined if there is none or it is older than
     * the entry VM's.
     */
    private findTerm(req: OwnerRequest): number | undefined {
        const term = this.resolver.findTerm();
        return term === undefined || (req.term !== undefined && req.term > term) ? undefined : term;
    }

    private refuse(req: OwnerRequest): Result<UpstreamResponse, Failure> {
        const term = req.term ?? this.context.groups.find(req.group)?.term ?? 0;
        return Err(createFailure(Diagnostics.termReplaced, RunOutcome.DidNotRun, req.upstream, term));
    }
}
