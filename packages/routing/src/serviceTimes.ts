/** Weight of a new observation in the running mean. */
const observationWeight = 0.1;
/** Estimate before the first observation, in milliseconds. */
const initialEstimateMs = 5;

/** Running mean and mean deviation of a class's slot time. */
export class ServiceTimes {
    private mean = initialEstimateMs;
    private deviation = 0;
    private count = 0;

    private constructor() {}

    public static create(): ServiceTimes {
        return new ServiceTimes();
    }

    public get meanMs(): number {
        return this.mean;
    }

    /** Slot time that few statements of the class exceed, in milliseconds. */
    public get highMs(): number {
        return this.mean + 2 * this.deviation;
    }

    public record(durationMs: number): void {
        this.count++;
        const weight = Math.max(observationWeight, 1 / this.count);
        const difference = durationMs - this.mean;
        this.mean += weight * difference;
        if (this.count > 1) this.deviation += weight * (Math.abs(difference) - this.deviation);
    }
}
