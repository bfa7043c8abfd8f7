import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { SlotRequest } from "@vanillarouter/scheduling/slotRequest";
import { Err, Ok, Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { FreshnessProof } from "../freshness/freshnessProof";
import { FreshnessProver } from "../freshness/freshnessProver";
import { UpstreamResponse } from "../group/upstreamResponse";
import { OwnerContext } from "./ownerContext";
import { OwnerRequest } from "./ownerRequest";

/**
 * Fraction of a read's timeout that it may spend waiting for this upstream to catch up; the rest is left for a retry on the
 * primary.
 */
const maxWaitFraction = 1 / 3;
/** Maximum attempts of a repeatable read whose connection is lost or silent. */
const maxAttempts = 3;
/**
 * Maximum age of the freshness proof at the start of a read, as a fraction of the maximum age that the request allows. The
 * rest covers queueing and execution.
 */
const maxStartAgeFraction = 0.75;

/**
 * Executes single reads on data that includes all log entries up to the session's floor and is proven as fresh as the
 * request demands.
 */
export class ReadExecutor {
    private constructor(private readonly context: OwnerContext, private readonly prover: FreshnessProver) {}

    public static create(context: OwnerContext, prover: FreshnessProver): ReadExecutor {
        return new ReadExecutor(context, prover);
    }

    public *execute(req: OwnerRequest, slotRequest: SlotRequest): Operation<Result<UpstreamResponse, Failure>> {
        const waitUntil = slotRequest.arrivedAt + req.timeoutMs * maxWaitFraction;
        const proof = yield* this.waitForProof(req, waitUntil);
        if (proof === undefined) return this.refuseStale(req);
        const floor = this.maxPosition(req.floor, proof.position);
        const { clock, watch } = this.context;
        const isApplied = yield* watch.waitUntil(() => compareLogPositions(watch.applied, floor) >= 0, waitUntil - clock.now());
        if (!isApplied) return this.refuseLagging(req, floor);
        const response = yield* this.runAttempts(req, slotRequest, floor);
        if (!response.ok) return response;
        watch.recordApplied(response.val.at);
        return this.isFreshEnough(req, slotRequest, response.val, proof) ? Ok(response.val) : this.refuseStale(req);
    }

    /** Returns a freshness proof that this upstream satisfies now, or will satisfy once it has applied the proof's position. */
    private *waitForProof(req: OwnerRequest, waitUntil: number): Operation<FreshnessProof | undefined> {
        const { clock, watch } = this.context;
        const maxAgeMs = req.maxAgeMs ?? 0;
        if (maxAgeMs <= 0) return yield* this.obtainProof(waitUntil);
        this.prover.recordRead();
        const maxProofAgeMs = maxAgeMs * maxStartAgeFraction;
        const findKnownProof = (): FreshnessProof | undefined => this.prover.findYounger(watch.applied, maxProofAgeMs);
        const knownProof = findKnownProof();
        if (knownProof !== undefined) return knownProof;
        const obtained = yield* this.obtainProof(waitUntil);
        // A lagging replica that catches up may satisfy an older proof before the one just obtained.
        yield* watch.waitUntil(() => findKnownProof() !== undefined, waitUntil - clock.now());
        return findKnownProof() ?? obtained;
    }

    private *obtainProof(waitUntil: number): Operation<FreshnessProof | undefined> {
        return yield* withTimeout(this.context.clock, waitUntil - this.context.clock.now(), this.prover.requestProof());
    }

    private maxPosition(floor: LogPosition | undefined, position: LogPosition): LogPosition {
        return floor === undefined || compareLogPositions(position, floor) > 0 ? position : floor;
    }

    private *runAttempts(req: OwnerRequest, slotRequest: SlotRequest, floor: LogPosition): Operation<Result<UpstreamResponse, Failure>> {
        const { scheduler, runner, clock } = this.context;
        for (let attempt = 0;; attempt++) {
            const run = (): Operation<Result<UpstreamResponse, Failure>> =>
                runner.run(req.className, slotRequest.deadline, attempt, connection => connection.read(req.sql, floor));
            const scheduled = yield* scheduler.run(slotRequest, run);
            const response = scheduled.ok ? scheduled.val : scheduled;
            const isRetryable = !response.ok && response.val.outcome === RunOutcome.Unknown && req.repeatable;
            if (!isRetryable || attempt + 1 >= maxAttempts || clock.now() >= slotRequest.deadline) return response;
        }
    }

    /**
     * Checks freshness after execution. If the read took long, a newer proof that its data satisfies can still show that it
     * is fresh enough.
     */
    private isFreshEnough(req: OwnerRequest, slotRequest: SlotRequest, response: UpstreamResponse, proof: FreshnessProof): boolean {
        const newest = this.prover.findNewest(response.at);
        const askedAt = Math.max(proof.askedAt, newest?.askedAt ?? -Infinity);
        const maxAgeMs = req.maxAgeMs ?? 0;
        return maxAgeMs > 0 ? this.context.clock.now() - askedAt <= maxAgeMs : askedAt >= slotRequest.arrivedAt;
    }

    private refuseLagging<T>(req: OwnerRequest, floor: LogPosition): Result<T, Failure> {
        return Err(createFailure(Diagnostics.floorNotApplied, RunOutcome.DidNotRun, req.upstream, `${floor.term}.${floor.position}`));
    }

    private refuseStale<T>(req: OwnerRequest): Result<T, Failure> {
        return Err(createFailure(Diagnostics.notFreshEnough, RunOutcome.DidNotRun, req.group, req.maxAgeMs ?? 0));
    }
}
