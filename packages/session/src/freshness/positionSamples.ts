import { Clock } from "@vanillarouter/base/clock";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { ClockReading } from "./clockReading";
import { PositionSample } from "./positionSample";
import { SuspensionDetector } from "./suspensionDetector";

/** A new sample replaces the newest one if it is less than this time after the second newest. */
const minSpacingMs = 100;
const maxSamples = 40;

/** Verified log positions of a group's primary over the last seconds. */
export class PositionSamples {
    private samples: PositionSample[] = [];
    private generation: number;

    private constructor(private readonly clock: Clock, private readonly suspension: SuspensionDetector) {
        this.generation = suspension.check();
    }

    public static create(clock: Clock, suspension: SuspensionDetector): PositionSamples {
        return new PositionSamples(clock, suspension);
    }

    /** Reads the clock, to date a position that is about to be requested. */
    public readClock(): ClockReading {
        return this.suspension.readClock();
    }

    /**
     * Adds a position that the primary reported in response to a request. `askedAt` must have been read before the request was sent:
     * a response may have been on its way for long, and says nothing about what was committed meanwhile.
     */
    public add(askedAt: ClockReading, position: LogPosition): void {
        this.dropAfterSuspension();
        if (askedAt.generation !== this.generation) return;
        const coversUntil = askedAt.at;
        const last = this.samples.at(-1);
        if (last !== undefined && coversUntil <= last.coversUntil) return;
        const previous = this.samples.at(-2);
        if (previous !== undefined && coversUntil - previous.coversUntil < minSpacingMs) this.samples.pop();
        this.samples.push({ coversUntil, position });
        if (this.samples.length > maxSamples) this.samples.shift();
    }

    /** Returns the oldest position that covers every commit acknowledged more than `maxAgeMs` ago, and the local time that it covers. */
    public findOldest(maxAgeMs: number): PositionSample | undefined {
        this.dropAfterSuspension();
        const minCoversUntil = this.clock.now() - maxAgeMs;
        return this.samples.find(sample => sample.coversUntil >= minCoversUntil);
    }

    /** Age of the newest sample in milliseconds; infinite without samples. */
    public get newestAgeMs(): number {
        this.dropAfterSuspension();
        const last = this.samples.at(-1);
        return last === undefined ? Number.POSITIVE_INFINITY : this.clock.now() - last.coversUntil;
    }

    private dropAfterSuspension(): void {
        const generation = this.suspension.check();
        if (generation !== this.generation) this.samples = [];
        this.generation = generation;
    }
}
