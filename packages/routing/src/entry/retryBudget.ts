const tokensPerSuccess = 0.1;
const burstTokens = 20;

/**
 * Limits retries relative to the rate of successful requests, so that a failover or an overload does not multiply the
 * load. A retry takes one token, a success returns a tenth of one: in the long run at most one retry for ten successes.
 */
export class RetryBudget {
    private tokens = burstTokens;

    private constructor() {}

    public static create(): RetryBudget {
        return new RetryBudget();
    }

    public recordSuccess(): void {
        this.tokens = Math.min(burstTokens, this.tokens + tokensPerSuccess);
    }

    /** Takes the token of one retry. Returns whether there was one. */
    public tryTake(): boolean {
        if (this.tokens < 1) return false;
        this.tokens--;
        return true;
    }
}
