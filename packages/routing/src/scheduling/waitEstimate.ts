import { Clock } from "@vanillarouter/base/clock";
import { Rank } from "@vanillarouter/base/rank";
import { ClassPriority } from "./classPriority";
import { OrdinaryShares } from "./ordinaryShares";
import { OverloadMonitor } from "./overloadMonitor";
import { ScheduledClass } from "./scheduledClass";
import { SlotTicket } from "./slotTicket";

/** Part of the slots that the least entitled class is expected to get, so that its wait is finite. */
const smallestRateFraction = 0.05;

/** Estimates how long a new statement waits for a slot, from the queue ahead of it and observed service times. */
export class WaitEstimate {
    private constructor(
        private readonly clock: Clock,
        private readonly slots: number,
        private readonly classes: ReadonlyMap<string, ScheduledClass>,
        private readonly running: ReadonlySet<SlotTicket>,
        private readonly shares: OrdinaryShares,
        private readonly overload: OverloadMonitor,
        private readonly priority: ClassPriority,
    ) {}

    public static create(
        clock: Clock,
        slots: number,
        classes: ReadonlyMap<string, ScheduledClass>,
        running: ReadonlySet<SlotTicket>,
        shares: OrdinaryShares,
        overload: OverloadMonitor,
        priority: ClassPriority,
    ): WaitEstimate {
        return new WaitEstimate(clock, slots, classes, running, shares, overload, priority);
    }

    /** Expected wait of a statement behind everything that waits now, in milliseconds. */
    public measureDelay(): number {
        let work = this.running.size < this.slots ? 0 : this.measureResidual();
        for (const one of this.classes.values()) work += one.queue.queuedWorkMs;
        return work / this.slots;
    }

    /** Whether a new ticket waits longer than `slackMs` in the order that holds now. */
    public isLate(ticket: SlotTicket, state: ScheduledClass, slackMs: number): boolean {
        let work = this.measureResidual() + state.queue.measureWorkBefore(ticket.req.franchisee, ticket.req.deadline);
        for (const other of this.classes.values()) {
            if (other === state || other.queue.size === 0) continue;
            const order = this.priority.compare(other, state);
            const goesFirst = order === 0 && this.priority.readCredit(other) >= this.priority.readCredit(state);
            if (order < 0) work += other.queue.queuedWorkMs;
            else if (goesFirst) work += other.queue.measureWorkDueBy(ticket.req.deadline);
        }
        return Math.min(work / this.estimateRate(state), this.measureEntitledWait(ticket, state)) > slackMs;
    }

    /** Wait in which a class gets to a new ticket with what it is entitled to, whatever other classes do, in milliseconds. */
    private measureEntitledWait(ticket: SlotTicket, state: ScheduledClass): number {
        if (!this.priority.isLimited(state)) return Infinity;
        const own = state.queue.measureWorkBefore(ticket.req.franchisee, ticket.req.deadline) + this.shares.readDebt(state.name);
        return own / this.shares.readEntitlement(state.name) + this.measureResidual() / this.slots;
    }

    /** Whether a new ticket would wait longer than `slackMs` in the order of ranks, which shows an overload. */
    public isLateByRank(ticket: SlotTicket, state: ScheduledClass, slackMs: number): boolean {
        let work = this.measureResidual() + state.queue.measureWorkBefore(ticket.req.franchisee, ticket.req.deadline);
        for (const other of this.classes.values()) {
            if (other === state || other.queue.size === 0) continue;
            const order = this.priority.compareRanks(other, state);
            if (order < 0) work += other.queue.queuedWorkMs;
            else if (order === 0) work += other.queue.measureWorkDueBy(ticket.req.deadline);
        }
        return work / this.slots > slackMs;
    }

    /** Whether a new urgent ticket would wait longer than `slackMs` in the order of deadlines, behind urgent work alone. */
    public isLateBehindUrgent(ticket: SlotTicket, state: ScheduledClass, slackMs: number): boolean {
        if (state.rank !== Rank.Urgent) return false;
        let work = 0;
        for (const running of this.running) work += running.req.rank === Rank.Urgent ? this.measureRemaining(running) : 0;
        for (const one of this.classes.values()) work += one.rank === Rank.Urgent ? one.queue.measureWorkDueBy(ticket.req.deadline) : 0;
        return work / this.slots > slackMs;
    }

    /** Slots that are left for a class after the demand of those that go before it. */
    private estimateRate(state: ScheduledClass): number {
        let before = 0;
        for (const other of this.classes.values()) {
            if (other === state || this.priority.compare(other, state) >= 0) continue;
            const isBounded = this.overload.isOverloaded && other.rank !== Rank.Urgent;
            const demand = this.shares.readDemand(other.name);
            before += isBounded ? Math.min(demand, this.shares.readEntitlement(other.name)) : demand;
        }
        const entitled = this.overload.isOverloaded ? this.shares.readEntitlement(state.name) : 0;
        return Math.max(this.slots - before, entitled, this.slots * smallestRateFraction);
    }

    /** Expected remaining time of running statements, in milliseconds of slot time. */
    private measureResidual(): number {
        let residual = 0;
        for (const ticket of this.running) residual += this.measureRemaining(ticket);
        return residual;
    }

    private measureRemaining(ticket: SlotTicket): number {
        return Math.max(0, ticket.grantedAt + ticket.estimateMs - this.clock.now());
    }
}
