import { Clock } from "@vanillarouter/base/clock";
import { Rank } from "@vanillarouter/base/rank";
import { DecayingMean } from "./decayingMean";
import { DecayingRate } from "./decayingRate";
import { ServiceTimes } from "./serviceTimes";
import { SlotCount } from "./slotCount";
import { SlotTicket } from "./slotTicket";

/** Time for which urgent classes count as active after the last urgent request, in milliseconds. */
const urgentActivityWindowMs = 60_000;
/** Time constant of the urgent demand average, in milliseconds. */
const demandTimeConstantMs = 10_000;
/** Fraction of an urgent request's slack that a running statement of another rank may use up. */
const maxSlackFraction = 0.5;
/** Slots kept free of long statements per slot of urgent demand. The excess over 1 allows for variation of the demand. */
const reservedSlotsFactor = 1.5;

/**
 * Keeps some slots free of long statements of lower ranks. A running statement cannot be preempted, so if long statements
 * occupied every slot, an urgent request would miss its target while waiting for them.
 */
export class LongStatementLimit {
    private readonly demand: DecayingRate;
    /** Mean slack of each urgent class. The minimum would be too small, because some requests arrive with little time left. */
    private readonly slacks = new Map<string, DecayingMean>();
    private lastUrgentAt = -Infinity;
    private runningLongCount = 0;

    private constructor(private readonly clock: Clock, private readonly slots: SlotCount) {
        this.demand = DecayingRate.create(demandTimeConstantMs, clock.now());
    }

    public static create(clock: Clock, slots: SlotCount): LongStatementLimit {
        return new LongStatementLimit(clock, slots);
    }

    public recordArrival(ticket: SlotTicket): void {
        if (ticket.req.rank !== Rank.Urgent) return;
        const now = this.clock.now();
        if (now - this.lastUrgentAt > urgentActivityWindowMs) this.slacks.clear();
        this.lastUrgentAt = now;
        this.demand.add(ticket.estimateMs, now);
        this.recordSlack(ticket);
    }

    /** Whether the statements of a class may take longer than urgent requests can wait. */
    public isLong(rank: Rank, times: ServiceTimes): boolean {
        if (rank === Rank.Urgent || this.clock.now() - this.lastUrgentAt > urgentActivityWindowMs) return false;
        return times.highMs > this.findSmallestSlack() * maxSlackFraction;
    }

    public mayStart(rank: Rank, times: ServiceTimes): boolean {
        return !this.isLong(rank, times) || this.runningLongCount < this.slots.count - this.countReservedSlots();
    }

    public recordStart(ticket: SlotTicket): void {
        if (ticket.isLong) this.runningLongCount++;
    }

    public recordEnd(ticket: SlotTicket): void {
        if (ticket.isLong) this.runningLongCount--;
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
        const reserved = Math.ceil(this.demand.read(this.clock.now()) * reservedSlotsFactor);
        return Math.min(Math.max(reserved, 1), this.slots.count - 1);
    }
}
