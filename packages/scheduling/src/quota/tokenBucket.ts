const msPerSecond = 1_000;

/**
 * A token bucket. It answers a tenant that sends more than its limit: over any time `t` in seconds it gives at most rate x t +
 * capacity tokens, however the requests are spread over that time. Times are in milliseconds of one local clock.
 */
export class TokenBucket {
    private tokens = 0;

    private constructor(private ratePerSecond: number, private capacity: number, private filledAt: number) {}

    /** The bucket is empty at `emptyAt`, which may lie in the past or, if nothing may be taken before then, in the future. */
    public static create(ratePerSecond: number, capacity: number, emptyAt: number): TokenBucket {
        return new TokenBucket(ratePerSecond, capacity, emptyAt);
    }

    /** Changes the limit from now on. What exceeds the new capacity is lost. */
    public setLimit(ratePerSecond: number, capacity: number, now: number): void {
        if (ratePerSecond === this.ratePerSecond && capacity === this.capacity) return;
        this.fill(now);
        this.ratePerSecond = ratePerSecond;
        this.capacity = capacity;
        this.tokens = Math.min(this.tokens, capacity);
    }

    /** Takes up to `count` whole tokens and returns how many. */
    public take(count: number, now: number): number {
        this.fill(now);
        const taken = Math.min(count, Math.floor(this.tokens));
        this.tokens -= taken;
        return taken;
    }

    /** Returns the time in milliseconds until the bucket holds a whole token; infinite if it never does. */
    public computeWaitMs(now: number): number {
        this.fill(now);
        if (this.tokens >= 1) return 0;
        if (this.ratePerSecond <= 0 || this.capacity < 1) return Number.POSITIVE_INFINITY;
        return Math.max(0, this.filledAt - now) + (1 - this.tokens) / this.ratePerSecond * msPerSecond;
    }

    private fill(now: number): void {
        if (now <= this.filledAt) return;
        this.tokens = Math.min(this.capacity, this.tokens + (now - this.filledAt) / msPerSecond * this.ratePerSecond);
        this.filledAt = now;
    }
}
