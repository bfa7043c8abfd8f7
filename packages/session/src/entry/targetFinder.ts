import { Clock } from "@vanillarouter/base/clock";
import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { sleep } from "@vanillarouter/base/sleep";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { computeRetryDelayMs } from "@vanillarouter/scheduling/computeRetryDelayMs";
import { ServiceGroup } from "../cluster/serviceGroup";
import { PositionSample } from "../freshness/positionSample";
import { Freshness } from "../model/freshness";
import { UpstreamPool } from "../upstream/upstreamPool";
import { CallerRequest } from "./callerRequest";
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
/** Response time that costs as much as having all the upstream's slots in use by this VM. */
const fullLoadResponseMs = 150;
/** Range of the random cost that keeps VMs with the same information from all choosing the same upstream. */
const randomCostRange = 0.1;

/** Selects the upstream for an operation, with the evidence that it is fresh enough. */
export class TargetFinder {
    private constructor(private readonly clock: Clock, private readonly zone: string, private readonly random: RandomSource) {}

    public static create(clock: Clock, zone: string, random: RandomSource): TargetFinder {
        return new TargetFinder(clock, zone, random);
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
            const pool = this.chooseReadPool(group, req, floor, triedUpstreamIds);
            const isPrimary = pool?.upstream.id === group.primaryTracker.primary?.id;
            return pool === undefined ? undefined : { pool, primaryTerm: isPrimary ? group.primaryTracker.primary?.term : undefined, ...evidence };
        }
        const primary = yield* this.waitForPrimary(group, waitDeadline);
        return primary === undefined ? undefined : { pool: primary.pool, primaryTerm: primary.term, ...evidence };
    }

    /**
     * Returns the time by which a request must be served: its latency target, or `waitDeadline` if it has already waited so long,
     * as for a failover, that it could hardly meet the target.
     */
    public chooseSlotDeadline(req: CallerRequest, waitDeadline: number): number {
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

    private chooseReadPool(group: ServiceGroup, req: CallerRequest, floor: LogPosition, triedUpstreamIds: ReadonlySet<string>): UpstreamPool | undefined {
        let best: UpstreamPool | undefined;
        let bestCost = Number.POSITIVE_INFINITY;
        for (const pool of group.pools.list(group.service)) {
            if (group.pools.isLeavingGraceOver(pool.upstream.id)) continue;
            const cost = this.computeReadCost(group, pool, floor, triedUpstreamIds) + pool.computeConnectionCostMs(req.tenant) / fullLoadResponseMs;
            if (cost >= bestCost) continue;
            best = pool;
            bestCost = cost;
        }
        return best;
    }

    private computeReadCost(group: ServiceGroup, pool: UpstreamPool, floor: LogPosition, triedUpstreamIds: ReadonlySet<string>): number {
        const isPrimary = pool.upstream.id === group.primaryTracker.primary?.id;
        let cost = pool.slots.load + pool.consecutiveFailures + pool.responseTimes.recentMs / fullLoadResponseMs + this.random.next() * randomCostRange;
        if (pool.upstream.zone !== this.zone) cost += otherZonePenalty;
        if (isPrimary) cost += primaryPenalty;
        else if (pool.applied !== undefined && compareLogPositions(pool.applied, floor) < 0) cost += 1;
        if (pool.upstream.isLeaving) cost += 1000;
        if (triedUpstreamIds.has(pool.upstream.id)) cost += 100;
        if (pool.isUnavailable) cost += 50;
        return cost;
    }
}
