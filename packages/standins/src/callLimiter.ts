import { Clock } from "@vanillarouter/base/clock";

/** A token bucket that holds one second's worth of calls. */
export class CallLimiter {
    private tokens: number;
    private filledAt: number;

    private constructor(private readonly clock: Clock, private readonly callsPerSecond: number) {
        this.tokens = callsPerSecond;
        this.filledAt = clock.now();
    }

    public static create(clock: Clock, callsPerSecond: number): CallLimiter {
        return new CallLimiter(clock, callsPerSecond);
    }

    /** Takes one call out of the budget; returns whether there was one. */
    public take(): boolean {
        const now = this.clock.now();
        this.tokens = Math.min(this.callsPerSecond, this.tokens + (now - this.filledAt) / 1000 * this.callsPerSecond);
        this.filledAt = now;
        if (this.tokens < 1) return false;
        this.tokens--;
        return true;
    }
}
