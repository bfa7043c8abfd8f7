import { Clock } from "@vanillarouter/base/clock";
import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { sleep } from "@vanillarouter/base/sleep";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { computeRetryDelayMs } from "@vanillarouter/scheduling/computeRetryDelayMs";
import { ExpectedCostChooser } from "@vanillarouter/scheduling/expectedCostChooser";
import { SmallestCostChooser } from "@vanillarouter/scheduling/smallestCostChooser";
import { UpstreamChooser } from "@vanillarouter/scheduling/upstreamChooser";
import { ServiceGroup } from "../cluster/serviceGroup";
import { PositionSample } from "../freshness/positionSample";
import { Freshness } from "../model/freshness";
import { SlotRequest } from "../upstream/slotRequest";
import { UpstreamPool } from "../upstream/upstreamPool";
import { CallerRequest } from "./callerRequest";
import { ReadCandidate } from "./readCandidate";
import { Target } from "./target";

/** Upper bound, with a margin, for the time between a read's first byte on the network and its arrival in this process. */
const arrivalMarginMs = 150;
const verificationRetryMs = 15;
/** A request that has waited for longer than this fraction of its latency target is served late rather than refused. */
const feasibleTargetFraction = 0.5;
/** Cost added to upstreams in other zones: a read leaves its zone only for an upstream with at least this much less load per slot. */
const otherZonePenalty = 0.15;
/** Cost added to the primary, to keep it free for work that only it can do unless the replicas are busier by this much load per slot. */
const primaryPenalty = 0.6;
/** Cost added to replicas that are known to lag behind the floor. */
const laggingPenalty = 1;
/** Time to open a connection that costs as much as having all the upstream's slots in use. */
const fullLoadConnectionMs = 150;
/** Tiers of upstreams that serve reads only if no other one can. They add up. */
const leavingTier = 4;
const triedTier = 2;
const unavailableTier = 1;

/** Selects the upstream for an operation, with the evidence that it is fresh enough. */
export class TargetFinder {
    private constructor(
        private readonly clock: Clock,
        private readonly zone: string,
        private readonly random: RandomSource,
        private readonly chooser: UpstreamChooser,
    ) {}

    /** `usesExpectedLoad` spreads reads by the load that all VMs are expected to cause at an upstream, instead of by this VM's own. */
    public static create(clock: Clock, zone: string, random: RandomSource, usesExpectedLoad = false): TargetFinder {
        return new TargetFinder(clock, zone, random, usesExpectedLoad ? ExpectedCostChooser.create(random) : SmallestCostChooser.create(random));
    }

    /**
     * Returns undefined if there is no suitable upstream by `waitDeadline`, or earlier if this VM is isolated. Reads on replicas
     * prefer upstreams that are not in `triedUpstreamIds`.
     */
    public *find(group: ServiceGroup, req: CallerRequest, triedUpstreamIds: ReadonlySet<string>, waitDeadline: number): Operation<Target | undefined> {
        const mayUseReplica = req.readOnly && req.workClass.freshness !== Freshness.Latest;
        if (req.workClass.freshness === Freshness.Latest && req.mayRead) return yield* this.findLatestReadTarget(group, req, waitDeadline);
        if (!req.mayRead) return yield* this.findWriteTarget(group, waitDeadline);
        const sample = yield* this.waitForFloor(group, req, waitDeadline);
        if (sample === undefined) return undefined;
        const floor = this.selectHigherPosition(sample.position, req.floors.find(req.workClass.service));
        const evidence = { floor, floorCoversUntil: sample.coversUntil, verifiedAt: undefined };
        if (mayUseReplica) {
            const choice = this.chooser.choose(this.listReadCandidates(group, req, floor, triedUpstreamIds));
            const isPrimary = choice?.id === group.primaryTracker.primary?.id;
            return choice === undefined
                ? undefined
                : { pool: choice.pool, primaryTerm: isPrimary ? group.primaryTracker.primary?.term : undefined, choice, ...evidence };
        }
        const primary = yield* this.waitForPrimary(group, waitDeadline);
        return primary === undefined ? undefined : { pool: primary.pool, primaryTerm: primary.term, ...evidence };
    }

    /** Returns the request for a slot in which the operation's first statement runs. */
    public createSlotRequest(req: CallerRequest, waitDeadline: number): SlotRequest {
        const { session, workClass, tenant, abandonment, receivedAt } = req;
        return { session, workClass, tenant, abandonment, receivedAt, deadline: this.chooseSlotDeadline(req, waitDeadline), waitDeadline };
    }

    /**
     * Returns the time by which a request must be served: its latency target, or `waitDeadline` if it has already waited so long,
     * as for a failover, that it could hardly meet the target.
     */
    private chooseSlotDeadline(req: CallerRequest, waitDeadline: number): number {
        const { targetMs } = req.workClass;
        const isTargetFeasible = this.clock.now() < req.receivedAt + targetMs * feasibleTargetFraction;
        return isTargetFeasible ? req.receivedAt + targetMs : waitDeadline;
    }

    /** Returns when a request that was refused for want of a slot should be sent again, in milliseconds from now. */
    public computeRetryDelayMs(group: ServiceGroup): number {
        const waits = group.pools.list(group.service).filter(pool => pool.isReachable).map(pool => pool.slots.expectedWaitMs);
        return computeRetryDelayMs(waits.length === 0 ? 0 : Math.min(...waits), this.random.next());
    }

    /** Returns the primary without verifying it, because a write is confirmed after it ran. */
    private *findWriteTarget(group: ServiceGroup, waitDeadline: number): Operation<Target | undefined> {
        const primary = yield* this.waitForPrimary(group, waitDeadline);
        return primary === undefined || group.isIsolated
            ? undefined
            : { pool: primary.pool, floor: undefined, floorCoversUntil: undefined, primaryTerm: primary.term, verifiedAt: undefined };
    }

    /** Waits until a primary is known. Returns undefined at `waitDeadline`, or if this VM is isolated. */
    public *waitForPrimary(group: ServiceGroup, waitDeadline: number): Operation<{ readonly pool: UpstreamPool; readonly term: number; } | undefined> {
        for (;;) {
            const primary = group.findPrimary();
            if (primary !== undefined) return primary;
            const remainingMs = waitDeadline - this.clock.now();
            if (remainingMs <= 0 || group.isIsolated) return undefined;
            yield* withTimeout(this.clock, Math.min(remainingMs, 200), group.primaryTracker.changed.wait());
        }
    }

    private *findLatestReadTarget(group: ServiceGroup, req: CallerRequest, waitDeadline: number): Operation<Target | undefined> {
        for (;;) {
            const primary = yield* this.waitForPrimary(group, waitDeadline);
            if (primary === undefined || group.isIsolated) return undefined;
            const verification = yield* group.primaryVerifier.verify(primary.term, req.receivedAt, waitDeadline);
            if (verification !== undefined) {
                return { pool: primary.pool, floor: undefined, floorCoversUntil: undefined, primaryTerm: primary.term, verifiedAt: verification.askedAt };
            }
            if (this.clock.now() >= waitDeadline) return undefined;
            yield* sleep(this.clock, verificationRetryMs);
        }
    }

    private *waitForFloor(group: ServiceGroup, req: CallerRequest, waitDeadline: number): Operation<PositionSample | undefined> {
        for (;;) {
            const sample = yield* group.waitForFloor(req.workClass.maxAgeMs - arrivalMarginMs, waitDeadline);
            if (sample !== undefined || this.clock.now() >= waitDeadline || group.isIsolated) return sample;
            yield* sleep(this.clock, verificationRetryMs);
        }
    }

    private selectHigherPosition(first: LogPosition, second: LogPosition | undefined): LogPosition {
        return second !== undefined && compareLogPositions(second, first) > 0 ? second : first;
    }

    private listReadCandidates(group: ServiceGroup, req: CallerRequest, floor: LogPosition, triedUpstreamIds: ReadonlySet<string>): readonly ReadCandidate[] {
        return group.pools.list(group.service)
            .filter(pool => !group.pools.isLeavingGraceOver(pool.upstream.id))
            .map(pool => this.createReadCandidate(group, req, pool, floor, triedUpstreamIds));
    }

    private createReadCandidate(
        group: ServiceGroup,
        req: CallerRequest,
        pool: UpstreamPool,
        floor: LogPosition,
        triedUpstreamIds: ReadonlySet<string>,
    ): ReadCandidate {
        const { upstream, slots, failures } = pool;
        const now = this.clock.now();
        const tried = triedUpstreamIds.has(upstream.id) ? triedTier : 0;
        return {
            pool,
            id: upstream.id,
            slots: upstream.slots,
            ownInFlight: slots.inFlight,
            expectedOthersBusy: slots.expectedOthersBusy,
            newsAgeMs: slots.newsAgeMs,
            responseMs: pool.responseTimes.recentMs,
            consecutiveFailures: pool.consecutiveFailures,
            failedPart: failures.computeFailedPart(now),
            readiness: failures.computeReadiness(now),
            preferencePenalty: this.computePreferencePenalty(group, pool, floor) + pool.computeConnectionCostMs(req.tenant) / fullLoadConnectionMs,
            tier: (upstream.isLeaving ? leavingTier : 0) + tried + (pool.isUnavailable ? unavailableTier : 0),
        };
    }

    private computePreferencePenalty(group: ServiceGroup, pool: UpstreamPool, floor: LogPosition): number {
        const zonePenalty = pool.upstream.zone === this.zone ? 0 : otherZonePenalty;
        if (pool.upstream.id === group.primaryTracker.primary?.id) return zonePenalty + primaryPenalty;
        const isLagging = pool.applied !== undefined && compareLogPositions(pool.applied, floor) < 0;
        return zonePenalty + (isLagging ? laggingPenalty : 0);
    }
}
