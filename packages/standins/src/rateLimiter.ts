import { Clock } from "@vanillarouter/base/clock";

/** A token bucket whose capacity is the number of requests allowed per second. */
export class RateLimiter {
    private tokens: number;
    private refilledAt: number;

    private constructor(private readonly clock: Clock, private readonly requestsPerSecond: number) {
        this.tokens = requestsPerSecond;
        this.refilledAt = clock.now();
    }

    public static create(clock: Clock, requestsPerSecond: number): RateLimiter {
        return new RateLimiter(clock, requestsPerSecond);
    }

    /** Takes one token if one is available. Returns whether the request is allowed. */
    public tryAcquire(): boolean {
        const now = this.clock.now();
        this.tokens = Math.min(this.requestsPerSecond, this.tokens + (now - this.refilledAt) / 1000 * this.requestsPerSecond);
        this.refilledAt = now;
        if (this.tokens < 1) return false;
        this.tokens--;
        return true;
    }
}
