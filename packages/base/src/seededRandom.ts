import { RandomSource } from "./randomSource";

/** A deterministic random source: the 32-bit generator mulberry32. */
export class SeededRandom implements RandomSource {
    private constructor(private state: number) {}

    public static create(seed: number): SeededRandom {
        return new SeededRandom(seed >>> 0);
    }

    public next(): number {
        this.state = (this.state + 0x6d2b79f5) >>> 0;
        let mixed = this.state;
        mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 0x100000000;
    }
}
