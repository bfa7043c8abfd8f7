import { Clock } from "@vanillarouter/base/clock";
import { Rank } from "@vanillarouter/base/rank";
import { DecayingRate } from "./decayingRate";

/** Time constant of the demand that keeps an overload on, in milliseconds. */
const demandTimeConstantMs = 1_000;
/** Time for which an overload stays on after its last sign, in milliseconds. */
const holdMs = 1_000;
/** Part of the slot time above which demand keeps an overload on. */
const overloadFraction = 0.95;

/**
 * Tells whether an upstream is overloaded. It becomes so when a request would miss its target in rank order, and stays so
 * while demand exceeds its slots; a burst that every request survives in time is not an overload.
 */
export class OverloadMonitor {
    private readonly total: DecayingRate;
    private readonly urgent: DecayingRate;
    private totalUntil = -Infinity;
    private urgentUntil = -Infinity;

    private constructor(private readonly clock: Clock, private readonly slots: number) {
        this.total = DecayingRate.create(demandTimeConstantMs, clock.now());
        this.urgent = DecayingRate.create(demandTimeConstantMs, clock.now());
    }

    public static create(clock: Clock, slots: number): OverloadMonitor {
        return new OverloadMonitor(clock, slots);
    }

    public get isOverloaded(): boolean {
        const now = this.clock.now();
        if (now < this.totalUntil && this.isAbove(this.total)) this.totalUntil = now + holdMs;
        return now < this.totalUntil;
    }

    /** Whether urgent demand alone exceeds the upstream. */
    public get isUrgentOverloaded(): boolean {
        const now = this.clock.now();
        if (now < this.urgentUntil && this.isAbove(this.urgent)) this.urgentUntil = now + holdMs;
        return now < this.urgentUntil;
    }

    public noteDemand(rank: Rank, costMs: number): void {
        const now = this.clock.now();
        this.total.add(costMs, now);
        if (rank === Rank.Urgent) this.urgent.add(costMs, now);
    }

    /** Notes that a request of a rank misses its target because of the work of its rank and more urgent ones. */
    public noteMiss(rank: Rank): void {
        const until = this.clock.now() + holdMs;
        this.totalUntil = until;
        if (rank === Rank.Urgent && this.isAbove(this.urgent)) this.urgentUntil = until;
    }

    /** Notes that an urgent request misses its target because of urgent work alone. */
    public noteUrgentMiss(): void {
        this.noteMiss(Rank.Urgent);
        this.urgentUntil = this.clock.now() + holdMs;
    }

    private isAbove(demand: DecayingRate): boolean {
        return demand.read(this.clock.now()) > this.slots * overloadFraction;
    }
}
