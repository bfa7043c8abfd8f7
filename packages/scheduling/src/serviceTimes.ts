/** Weight of a new observation in the running mean. */
const observationWeight = 0.1;
/** Estimate before the first observation, in milliseconds. */
const initialEstimateMs = 5;

/**
 * Factor by which the peak slot time decays with each observation, so that a peak has little effect after a few thousand
 * observations.
 */
const peakDecayFactor = 0.9995;

/** Maximum slot time reserved before a deadline, as a multiple of the mean. */
const maxReserveFactor = 3;

/** Running mean, mean deviation and decaying peak of a class's slot time. */
export class ServiceTimes {
    private mean = initialEstimateMs;
    private deviation = 0;
    private peak = 0;
    private count = 0;

    private constructor() {}

    public static create(): ServiceTimes {
        return new ServiceTimes();
    }

    public get meanMs(): number {
        return this.mean;
    }

    /** Slot time that few statements of the class exceed, in milliseconds. A rare long statement affects it for a long time. */
    public get highMs(): number {
        return Math.max(this.peak, this.mean + 2 * this.deviation);
    }

    /**
     * Slot time to reserve before a deadline, in milliseconds. A statement that starts later is likely to be interrupted,
     * which wastes its slot time and its connection. The reserve is capped so that one rare long statement cannot inflate it.
     */
    public get reserveMs(): number {
        return Math.min(this.highMs, this.mean * maxReserveFactor);
    }

    public record(durationMs: number): void {
        this.count++;
        this.peak = Math.max(durationMs, this.peak * peakDecayFactor);
        const weight = Math.max(observationWeight, 1 / this.count);
        const difference = durationMs - this.mean;
        this.mean += weight * difference;
        if (this.count > 1) this.deviation += weight * (Math.abs(difference) - this.deviation);
    }
}
