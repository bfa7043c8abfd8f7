const tokensPerSuccess = 0.1;
const maxTokens = 20;

/**
 * A token bucket that limits retries relative to the rate of successful requests, so that a failover or an overload does
 * not multiply the load. A retry takes one token and a success adds a tenth of one: in the long run there is at most one
 * retry for ten successes.
 */
export class RetryBudget {
    private tokens = maxTokens;

    private constructor() {}

    public static create(): RetryBudget {
        return new RetryBudget();
    }

    public recordSuccess(): void {
        this.tokens = Math.min(maxTokens, this.tokens + tokensPerSuccess);
    }

    /** Takes the token for one retry. Returns false if none is left. */
    public tryTake(): boolean {
        if (this.tokens < 1) return false;
        this.tokens--;
        return true;
    }
}
