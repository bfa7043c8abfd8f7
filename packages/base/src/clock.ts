/** A monotonic clock with timers, in milliseconds. Its origin has no meaning beyond one process. */
export interface Clock {
    /** Returns milliseconds since an arbitrary origin. Never decreases. */
    now(): number;
    /** Calls `listener` after `delayMs` milliseconds; the returned function cancels the timer. */
    startTimer(delayMs: number, listener: () => void): () => void;
}
