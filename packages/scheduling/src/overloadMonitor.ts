import { Clock } from "@vanillarouter/base/clock";
import { Rank } from "@vanillarouter/base/rank";
import { DecayingRate } from "./decayingRate";
import { SlotCount } from "./slotCount";

/** Time constant of the demand averages, in milliseconds. */
const demandTimeConstantMs = 1_000;
/** Time for which the overloaded state lasts after the last sign of an overload, in milliseconds. */
const holdMs = 1_000;
/** Fraction of the slot time above which demand sustains the overloaded state. */
const overloadFraction = 0.95;

/**
 * Determines whether an upstream is overloaded. An overload begins when a request would miss its target in rank order, and
 * lasts while demand exceeds the slots. A burst in which every request meets its target is not an overload.
 */
export class OverloadMonitor {
    private readonly totalDemand: DecayingRate;
    private readonly urgentDemand: DecayingRate;
    private overloadedUntil = -Infinity;
    private urgentOverloadedUntil = -Infinity;

    private constructor(private readonly clock: Clock, private readonly slots: SlotCount) {
        this.totalDemand = DecayingRate.create(demandTimeConstantMs, clock.now());
        this.urgentDemand = DecayingRate.create(demandTimeConstantMs, clock.now());
    }

    public static create(clock: Clock, slots: SlotCount): OverloadMonitor {
        return new OverloadMonitor(clock, slots);
    }

    public get isOverloaded(): boolean {
        const now = this.clock.now();
        if (now < this.overloadedUntil && this.exceedsCapacity(this.totalDemand)) this.overloadedUntil = now + holdMs;
        return now < this.overloadedUntil;
    }

    /** Whether urgent demand alone exceeds the upstream's capacity. */
    public get isUrgentOverloaded(): boolean {
        const now = this.clock.now();
        if (now < this.urgentOverloadedUntil && this.exceedsCapacity(this.urgentDemand)) this.urgentOverloadedUntil = now + holdMs;
        return now < this.urgentOverloadedUntil;
    }

    public recordDemand(rank: Rank, costMs: number): void {
        const now = this.clock.now();
        this.totalDemand.add(costMs, now);
        if (rank === Rank.Urgent) this.urgentDemand.add(costMs, now);
    }

    /** Records that a request misses its target because of work of its own rank and higher ranks. */
    public recordMiss(rank: Rank): void {
        const until = this.clock.now() + holdMs;
        this.overloadedUntil = until;
        if (rank === Rank.Urgent && this.exceedsCapacity(this.urgentDemand)) this.urgentOverloadedUntil = until;
    }

    /** Records that an urgent request misses its target because of urgent work alone. */
    public recordUrgentMiss(): void {
        this.recordMiss(Rank.Urgent);
        this.urgentOverloadedUntil = this.clock.now() + holdMs;
    }

    private exceedsCapacity(demand: DecayingRate): boolean {
        return demand.read(this.clock.now()) > this.slots.count * overloadFraction;
    }
}
