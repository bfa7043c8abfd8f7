/** A source of random numbers. */
export interface RandomSource {
    /** Returns a number in the range [0, 1). */
    next(): number;
}
