/** A source of random numbers. */
export interface RandomSource {
    /** Returns a number of at least 0 and below 1. */
    next(): number;
}
