import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { Task } from "@vanillarouter/base/task";
import * as bunyan from "bunyan";
import { PositionSample } from "../freshness/positionSample";
import { PositionSamples } from "../freshness/positionSamples";
import { PrimaryVerifier } from "../freshness/primaryVerifier";
import { SuspensionDetector } from "../freshness/suspensionDetector";
import { CommandKind } from "../model/commandKind";
import { UpstreamPool } from "../upstream/upstreamPool";
import { UpstreamPools } from "../upstream/upstreamPools";
import { PrimaryTracker } from "./primaryTracker";

const statusTimeoutMs = 400;
/** Fraction of the maximum age after which a newer position is requested, before the known one becomes too old. */
const refreshAgeFraction = 0.75;

/** This VM's view of a database group: the primary, its verified log positions and the connection pools of the upstreams. */
export class ServiceGroup {
    public readonly primaryTracker: PrimaryTracker;
    public readonly primaryVerifier: PrimaryVerifier;
    public readonly positionSamples: PositionSamples;
    private refreshTask: Task<void> | undefined;

    private constructor(
        public readonly service: string,
        private readonly clock: Clock,
        public readonly pools: UpstreamPools,
        suspension: SuspensionDetector,
        log: bunyan,
    ) {
        this.primaryTracker = PrimaryTracker.create(service, log);
        this.primaryVerifier = PrimaryVerifier.create(service, clock, pools, this.primaryTracker, suspension, pools.zone);
        this.positionSamples = PositionSamples.create(clock, suspension);
    }

    public static create(service: string, clock: Clock, pools: UpstreamPools, suspension: SuspensionDetector, log: bunyan): ServiceGroup {
        return new ServiceGroup(service, clock, pools, suspension, log);
    }

    /**
     * Whether this VM reaches too few upstreams to verify the primary or to replace it. Entries at whose address nothing has ever
     * listened do not count, unless there are no others.
     */
    public get isIsolated(): boolean {
        const listed = this.pools.list(this.service);
        const listening = listed.filter(pool => !pool.listener.isRefused);
        const pools = listening.length === 0 ? listed : listening;
        return pools.length > 1 && pools.filter(pool => pool.isReachable).length <= pools.length / 2;
    }

    /** Returns the pool and term of the primary. Undefined if none is known, or if it is not listed or has been leaving for too long to get new work. */
    public findPrimary(): { readonly pool: UpstreamPool; readonly term: number; } | undefined {
        const primary = this.primaryTracker.primary;
        const pool = primary === undefined ? undefined : this.pools.find(primary.id);
        return pool === undefined || this.pools.isLeavingGraceOver(pool.upstream.id) ? undefined : { pool, term: primary!.term };
    }

    /**
     * Returns a position that covers every commit acknowledged more than `maxAgeMs` ago, requesting the primary's if none is
     * known. Returns undefined at `waitDeadline`, or earlier if the request fails or this VM is isolated.
     */
    public *waitForFloor(maxAgeMs: number, waitDeadline: number): Operation<PositionSample | undefined> {
        for (;;) {
            if (this.positionSamples.newestAgeMs > maxAgeMs * refreshAgeFraction) this.startRefresh();
            const known = this.positionSamples.findOldest(maxAgeMs);
            if (known !== undefined) return known;
            if (this.clock.now() >= waitDeadline || this.refreshTask === undefined || this.isIsolated) return undefined;
            const pendingRefresh = this.refreshTask;
            yield* pendingRefresh.join();
            if (this.positionSamples.findOldest(maxAgeMs) === undefined) return undefined;
        }
    }

    private startRefresh(): void {
        if (this.refreshTask !== undefined) return;
        const task = Task.start(this.refreshSamples());
        if (task.isSettled) return;
        this.refreshTask = task;
        task.onSettled(() => this.refreshTask = undefined);
    }

    private *refreshSamples(): Operation<void> {
        const primary = this.findPrimary();
        if (primary === undefined) return;
        const askedAt = this.positionSamples.readClock();
        const status = yield* primary.pool.runControl(CommandKind.Status, statusTimeoutMs);
        if (status === undefined || !status.isPrimary || status.term !== primary.term) {
            this.primaryTracker.suspect("the primary did not confirm its role");
            return;
        }
        const verification = yield* this.primaryVerifier.verify(primary.term, askedAt.at, askedAt.at + 2 * statusTimeoutMs);
        if (verification !== undefined) this.positionSamples.add(askedAt, status.received);
    }
}
