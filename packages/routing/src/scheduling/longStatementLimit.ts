import { Clock } from "@vanillarouter/base/clock";
import { Rank } from "@vanillarouter/base/rank";
import { DecayingMean } from "./decayingMean";
import { DecayingRate } from "./decayingRate";
import { ServiceTimes } from "./serviceTimes";
import { SlotTicket } from "./slotTicket";

/** Time for which urgent classes count as in use after their last request, in milliseconds. */
const urgentMemoryMs = 60_000;
/** Time constant of urgent demand, in milliseconds. */
const demandTimeConstantMs = 10_000;
/** Part of an urgent request's slack that a running statement of another rank may take up. */
const slackFraction = 0.5;
/** Slots kept free of long statements for each slot of urgent demand; room for its variation. */
const demandMargin = 1.5;

/**
 * Keeps slots free of long statements of lower ranks. A running statement cannot be interrupted, so when long ones hold
 * every slot, an urgent request would wait past its target behind them.
 */
export class LongStatementLimit {
    private readonly demand: DecayingRate;
    /** Mean slack of each urgent class. A mean, as single requests arrive with little time left. */
    private readonly slacks = new Map<string, DecayingMean>();
    private urgentSeenAt = -Infinity;
    private runningLong = 0;

    private constructor(private readonly clock: Clock, private readonly slots: number) {
        this.demand = DecayingRate.create(demandTimeConstantMs, clock.now());
    }

    public static create(clock: Clock, slots: number): LongStatementLimit {
        return new LongStatementLimit(clock, slots);
    }

    public noteArrival(ticket: SlotTicket): void {
        if (ticket.req.rank !== Rank.Urgent) return;
        const now = this.clock.now();
        if (now - this.urgentSeenAt > urgentMemoryMs) this.slacks.clear();
        this.urgentSeenAt = now;
        this.demand.add(ticket.estimateMs, now);
        this.recordSlack(ticket);
    }

    /** Whether a class's statements may take longer than urgent requests can wait. */
    public isLong(rank: Rank, times: ServiceTimes): boolean {
        if (rank === Rank.Urgent || this.clock.now() - this.urgentSeenAt > urgentMemoryMs) return false;
        return times.highMs > this.findSmallestSlack() * slackFraction;
    }

    public mayStart(rank: Rank, times: ServiceTimes): boolean {
        return !this.isLong(rank, times) || this.runningLong < this.slots - this.countReservedSlots();
    }

    public noteStart(ticket: SlotTicket): void {
        if (ticket.isLong) this.runningLong++;
    }

    public noteEnd(ticket: SlotTicket): void {
        if (ticket.isLong) this.runningLong--;
    }

    private recordSlack(ticket: SlotTicket): void {
        let slack = this.slacks.get(ticket.req.className);
        if (slack === undefined) {
            slack = DecayingMean.create();
            this.slacks.set(ticket.req.className, slack);
        }
        slack.record(ticket.latestStart - ticket.req.arrivedAt);
    }

    private findSmallestSlack(): number {
        let smallest = Infinity;
        for (const slack of this.slacks.values()) smallest = Math.min(smallest, slack.value);
        return smallest;
    }

    private countReservedSlots(): number {
        const wanted = Math.ceil(this.demand.read(this.clock.now()) * demandMargin);
        return Math.min(Math.max(wanted, 1), this.slots - 1);
    }
}
