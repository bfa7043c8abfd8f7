/** Time in which the weight of a result halves. */
const halfLifeMs = 1_000;
/** Successes that are assumed beside the recent results, so that a single failure counts for a part only and a past one for nothing. */
const assumedResponses = 2;
/** Time in which an upstream that responds again gets back to its full share of work. */
const recoveryMs = 2_000;
/** Fraction of its slots with which an upstream starts when it responds again. */
const initialReadiness = 0.1;
/** Consecutive lost responses after which an upstream counts as out of reach. A single lost response is no outage. */
const outageFailures = 2;

/**
 * Recent failures of an upstream and its return from an outage.
 *
 * It answers two load patterns: an upstream that fails a part of its requests although others succeed in between, and one that comes back
 * after an outage and would get all new work at once, while connections to it still have to be opened.
 */
export class FailureHistory {
    private failures = 0;
    private successes = 0;
    private updatedAt = 0;
    private lostResponses = 0;
    private returnedAt = Number.NEGATIVE_INFINITY;

    private constructor() {}

    public static create(): FailureHistory {
        return new FailureHistory();
    }

    /** Records a command or dial without a response. */
    public recordLostResponse(now: number): void {
        this.recordResult(true, now);
        this.lostResponses++;
    }

    /** Records the response to a statement. A status is none: an upstream may fail statements although its status is good. */
    public recordResult(isFailure: boolean, now: number): void {
        this.fade(now);
        if (isFailure) this.failures++;
        else this.successes++;
    }

    /** Records that the upstream responds, whatever the command. */
    public recordResponse(now: number): void {
        if (this.lostResponses >= outageFailures) this.recordReturn(now);
        this.lostResponses = 0;
    }

    /** Records that the upstream is in use again after an outage. */
    public recordReturn(now: number): void {
        this.returnedAt = now;
    }

    /** Returns the part of the recent statements that failed, each discounted by its age; 0 if there were none for long. */
    public computeFailedPart(now: number): number {
        const weight = this.computeWeight(now);
        return this.failures * weight / ((this.failures + this.successes) * weight + assumedResponses);
    }

    /** Returns the fraction of the upstream's slots that new work may count on, which rises from `initialReadiness` to 1 after an outage. */
    public computeReadiness(now: number): number {
        if (this.lostResponses >= outageFailures) return initialReadiness;
        return Math.min(1, initialReadiness + (1 - initialReadiness) * (now - this.returnedAt) / recoveryMs);
    }

    private fade(now: number): void {
        const weight = this.computeWeight(now);
        this.failures *= weight;
        this.successes *= weight;
        this.updatedAt = now;
    }

    private computeWeight(now: number): number {
        return 0.5 ** ((now - this.updatedAt) / halfLifeMs);
    }
}
