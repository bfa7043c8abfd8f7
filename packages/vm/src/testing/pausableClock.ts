import { Clock } from "@vanillarouter/base/clock";

/** A clock for tests whose timers do not fire while it is paused, as in a stopped process; `now` keeps advancing. */
export class PausableClock implements Clock {
    private paused = false;
    private dueTimers: (() => void)[] = [];

    private constructor(private readonly clock: Clock) {}

    public static create(clock: Clock): PausableClock {
        return new PausableClock(clock);
    }

    public now(): number {
        return this.clock.now();
    }

    public startTimer(delayMs: number, listener: () => void): () => void {
        let cancelled = false;
        const fire = (): void => {
            if (cancelled) return;
            if (this.paused) this.dueTimers.push(fire);
            else listener();
        };
        const cancel = this.clock.startTimer(delayMs, fire);
        return () => {
            cancelled = true;
            cancel();
        };
    }

    public pause(): void {
        this.paused = true;
    }

    /** Resumes the clock and fires the timers that came due during the pause. */
    public resume(): void {
        this.paused = false;
        const due = this.dueTimers;
        this.dueTimers = [];
        for (const fire of due) fire();
    }
}
