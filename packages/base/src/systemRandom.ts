import { RandomSource } from "./randomSource";

/** The runtime's random source. */
export class SystemRandom implements RandomSource {
    private constructor() {}

    public static create(): SystemRandom {
        return new SystemRandom();
    }

    public next(): number {
        return Math.random();
    }
}
