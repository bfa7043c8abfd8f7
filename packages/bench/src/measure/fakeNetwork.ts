import { Clock } from "@vanillarouter/base/clock";
import { RandomSource } from "@vanillarouter/base/randomSource";

const sameZoneDelayMs = 0.25;
/** Share by which a delay varies. */
const jitter = 0.2;

/** Delays of messages within and between availability zones. */
export class FakeNetwork {
    private constructor(private readonly clock: Clock, private readonly random: RandomSource, private readonly zoneDelayMs: number) {}

    public static create(clock: Clock, random: RandomSource, zoneDelayMs: number): FakeNetwork {
        return new FakeNetwork(clock, random, zoneDelayMs);
    }

    /** Returns the delay of the next message one way, in milliseconds. */
    public draw(from: string, to: string): number {
        const delayMs = from === to ? sameZoneDelayMs : this.zoneDelayMs;
        return delayMs * (1 + jitter * this.random.next());
    }

    /** Delivers a message after its delay. */
    public send(from: string, to: string, deliver: () => void): void {
        this.clock.startTimer(this.draw(from, to), deliver);
    }
}
