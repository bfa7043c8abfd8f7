/** A monotonic clock with timers, in milliseconds. Times of different processes cannot be compared, because the origin is arbitrary. */
export interface Clock {
    /** Returns the milliseconds since an arbitrary origin. The value never decreases. */
    now(): number;
    /** Calls `listener` after `delayMs` milliseconds; the returned function cancels the timer. */
    startTimer(delayMs: number, listener: () => void): () => void;
}
