import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { OwnerLoad } from "./ownerLoad";

const initialBaseLatencyMs = 1;
const initialServiceMs = 5;
/**
 * Weight of a higher observation in the base latency. Lower ones are adopted immediately, so that queueing is not counted as
 * network latency.
 */
const baseLatencyRiseWeight = 0.02;
const serviceWeight = 0.1;
/** Time constant with which the last reported queue delay decays, in milliseconds. */
const queueDelayDecayMs = 200;
const minBackoffMs = 50;
const maxBackoffMs = 1000;
/** Factor by which the estimated replication lag decays with each response. */
const lagDecay = 0.8;

/** Estimates that this VM keeps about one upstream, based on the responses of its owner. */
export class UpstreamEstimates {
    private baseLatencyMs = initialBaseLatencyMs;
    private serviceMs = initialServiceMs;
    private queueDelayMs = 0;
    private respondedAt = Number.NEGATIVE_INFINITY;
    private refusedAt = Number.NEGATIVE_INFINITY;
    private appliedPosition: LogPosition | undefined;
    private lag = 0;
    private pendingCount = 0;
    private backoffUntil = Number.NEGATIVE_INFINITY;
    private backoffMs = minBackoffMs;
    private notFreshUntil = Number.NEGATIVE_INFINITY;

    private constructor() {}

    public static create(): UpstreamEstimates {
        return new UpstreamEstimates();
    }

    /** Position of the last log entry that the upstream is known to have applied. */
    public get applied(): LogPosition | undefined {
        return this.appliedPosition;
    }

    /** Estimated minimum time until a response, in milliseconds. */
    public get expectedBaseLatencyMs(): number {
        return this.baseLatencyMs;
    }

    /** Expected replication lag, in milliseconds. */
    public get lagMs(): number {
        return this.lag;
    }

    /** Time of the last response or refusal, in milliseconds. */
    public get lastResponseAt(): number {
        return Math.max(this.respondedAt, this.refusedAt);
    }

    /** Records a refusal, which shows that the owner is alive. */
    public recordRefusal(now: number): void {
        this.refusedAt = now;
    }

    public startRequest(): void {
        this.pendingCount++;
    }

    public endRequest(): void {
        this.pendingCount--;
    }

    /**
     * Records a response that took `elapsedMs` milliseconds. `lagMs` is the replication lag derived from the applied
     * position that it reports.
     */
    public recordResponse(load: OwnerLoad, elapsedMs: number, lagMs: number, now: number): void {
        const unqueuedMs = Math.max(0, elapsedMs - load.queueDelayMs);
        this.baseLatencyMs = unqueuedMs < this.baseLatencyMs ? unqueuedMs : this.baseLatencyMs + baseLatencyRiseWeight * (unqueuedMs - this.baseLatencyMs);
        this.serviceMs += serviceWeight * (unqueuedMs - this.serviceMs);
        this.queueDelayMs = load.queueDelayMs;
        this.respondedAt = now;
        this.lag = Math.max(lagMs, this.lag * lagDecay);
        this.backoffMs = minBackoffMs;
        this.backoffUntil = Number.NEGATIVE_INFINITY;
        if (this.appliedPosition === undefined || compareLogPositions(load.applied, this.appliedPosition) > 0) this.appliedPosition = load.applied;
    }

    /** Records that the upstream had not applied a floor that this VM has known for `knownMs` milliseconds. */
    public recordMissedFloor(knownMs: number): void {
        this.lag = Math.max(this.lag * 2, knownMs + 1);
    }

    /**
     * Records that the upstream's data was not proven fresh enough; its freshness counts as doubtful for the next
     * `doubtfulMs` milliseconds.
     */
    public recordNotFresh(doubtfulMs: number, now: number): void {
        this.notFreshUntil = now + doubtfulMs;
    }

    /**
     * Records that the upstream or its owner could not be reached. The upstream is avoided for twice as long with each
     * consecutive failure.
     */
    public recordFailure(now: number): void {
        this.backoffUntil = now + this.backoffMs;
        this.backoffMs = Math.min(maxBackoffMs, this.backoffMs * 2);
    }

    public isInBackoff(now: number): boolean {
        return now < this.backoffUntil;
    }

    public isFreshnessDoubtful(now: number): boolean {
        return now < this.notFreshUntil;
    }

    /** Expected time until a response, in milliseconds, excluding any wait for replication. */
    public estimateResponseMs(slots: number, now: number): number {
        const decay = Math.exp(-Math.max(0, now - this.respondedAt) / queueDelayDecayMs);
        return this.baseLatencyMs + this.queueDelayMs * decay + (this.pendingCount * this.serviceMs) / slots;
    }

    /** Expected time until the upstream has applied a floor that this VM has known since `knownSince`, in milliseconds; 0 if it already has. */
    public estimateFloorMs(floor: LogPosition | undefined, knownSince: number, now: number): number {
        if (floor === undefined) return 0;
        if (this.appliedPosition !== undefined && compareLogPositions(this.appliedPosition, floor) >= 0) return 0;
        return Math.max(0, knownSince + this.lag - now);
    }
}
