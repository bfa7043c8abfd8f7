/** Weight of a new observation. */
const observationWeight = 0.05;

/** An exponentially weighted moving mean; 0 before the first observation. */
export class DecayingMean {
    private mean = 0;
    private count = 0;

    private constructor() {}

    public static create(): DecayingMean {
        return new DecayingMean();
    }

    public get value(): number {
        return this.mean;
    }

    public record(value: number): void {
        this.count++;
        this.mean += Math.max(observationWeight, 1 / this.count) * (value - this.mean);
    }
}
