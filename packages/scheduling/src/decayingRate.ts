/** A rate averaged with exponentially decaying weights. */
export class DecayingRate {
    private rate = 0;
    private startedAt: number;
    private updatedAt: number;

    private constructor(private readonly timeConstantMs: number, now: number) {
        this.startedAt = now;
        this.updatedAt = now;
    }

    public static create(timeConstantMs: number, now: number): DecayingRate {
        return new DecayingRate(timeConstantMs, now);
    }

    public add(amount: number, now: number): void {
        this.decay(now);
        this.rate += amount / this.timeConstantMs;
    }

    /** Amount per millisecond. */
    public read(now: number): number {
        this.decay(now);
        return this.rate;
    }

    /** Amount per millisecond, corrected for the short time of observation after creation. */
    public readCorrected(now: number): number {
        const observedFraction = 1 - Math.exp(-(now - this.startedAt) / this.timeConstantMs);
        return observedFraction <= 0 ? 0 : this.read(now) / Math.max(observedFraction, 1e-3);
    }

    private decay(now: number): void {
        if (now <= this.updatedAt) return;
        this.rate *= Math.exp(-(now - this.updatedAt) / this.timeConstantMs);
        this.updatedAt = now;
    }
}
