import { RandomSource } from "./randomSource";

/** The random source of the JavaScript runtime. */
export class SystemRandom implements RandomSource {
    private constructor() {}

    public static create(): SystemRandom {
        return new SystemRandom();
    }

    public next(): number {
        return Math.random();
    }
}
