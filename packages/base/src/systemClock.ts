import { performance } from "node:perf_hooks";
import { Clock } from "./clock";

/** A timer with a longer delay would fire at once. */
const maxTimerMs = 2_147_483_647;

/** The monotonic clock of the process. */
export class SystemClock implements Clock {
    private constructor() {}

    public static create(): SystemClock {
        return new SystemClock();
    }

    public now(): number {
        return performance.now();
    }

    public startTimer(delayMs: number, listener: () => void): () => void {
        const timer = setTimeout(listener, Math.min(delayMs, maxTimerMs));
        return () => clearTimeout(timer);
    }
}
