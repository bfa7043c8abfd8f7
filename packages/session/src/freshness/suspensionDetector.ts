import { Clock } from "@vanillarouter/base/clock";
import { ClockReading } from "./clockReading";

/** If the offset between the two clocks changes by more than this, the process was suspended or the time of day was set. */
const toleranceMs = 60;

/**
 * Detects that the VM was suspended. Unlike the time of day, the monotonic clock does not count that time, so data with a
 * limited validity may be older than the monotonic clock says.
 */
export class SuspensionDetector {
    private offsetMs: number;
    private generation = 0;

    private constructor(private readonly clock: Clock, private readonly readTimeOfDay: () => number) {
        this.offsetMs = readTimeOfDay() - clock.now();
    }

    public static create(clock: Clock, readTimeOfDay: () => number = Date.now): SuspensionDetector {
        return new SuspensionDetector(clock, readTimeOfDay);
    }

    /** Reads the clock, to date evidence that is about to be requested. */
    public readClock(): ClockReading {
        return { at: this.clock.now(), generation: this.check() };
    }

    /** Returns a number that changes whenever a suspension or a step of the time of day is detected. */
    public check(): number {
        const offsetMs = this.readTimeOfDay() - this.clock.now();
        if (Math.abs(offsetMs - this.offsetMs) > toleranceMs) this.generation++;
        this.offsetMs = offsetMs;
        return this.generation;
    }
}
