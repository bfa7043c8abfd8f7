import { Clock } from "@vanillarouter/base/clock";
import { Rank } from "@vanillarouter/base/rank";
import { ClassPriority } from "./classPriority";
import { OrdinaryShares } from "./ordinaryShares";
import { OverloadMonitor } from "./overloadMonitor";
import { ScheduledClass } from "./scheduledClass";
import { SlotCount } from "./slotCount";
import { SlotTicket } from "./slotTicket";

/** Minimum fraction of the slots that any class is expected to get, so that its estimated wait is finite. */
const minSlotsFraction = 0.05;

/** Estimates how long a new statement will wait for a slot, from the work queued ahead of it and observed service times. */
export class WaitEstimator {
    private constructor(
        private readonly clock: Clock,
        private readonly slots: SlotCount,
        private readonly classes: ReadonlyMap<string, ScheduledClass>,
        private readonly running: ReadonlySet<SlotTicket>,
        private readonly shares: OrdinaryShares,
        private readonly overload: OverloadMonitor,
        private readonly priority: ClassPriority,
    ) {}

    public static create(
        clock: Clock,
        slots: SlotCount,
        classes: ReadonlyMap<string, ScheduledClass>,
        running: ReadonlySet<SlotTicket>,
        shares: OrdinaryShares,
        overload: OverloadMonitor,
        priority: ClassPriority,
    ): WaitEstimator {
        return new WaitEstimator(clock, slots, classes, running, shares, overload, priority);
    }

    /** Expected wait of a statement behind all currently waiting ones, in milliseconds. */
    public estimateDelay(): number {
        let work = this.running.size < this.slots.count ? 0 : this.estimateRunningWork();
        for (const workClass of this.classes.values()) work += workClass.queue.queuedWorkMs;
        return work / this.slots.count;
    }

    /** Whether a new ticket would wait longer than `slackMs` in the current order. */
    public isLate(ticket: SlotTicket, workClass: ScheduledClass, slackMs: number): boolean {
        let work = this.estimateRunningWork() + workClass.queue.sumWorkBefore(ticket.req.franchisee, ticket.req.deadline);
        for (const other of this.classes.values()) {
            if (other === workClass || other.queue.size === 0) continue;
            const order = this.priority.compare(other, workClass);
            const precedes = order === 0 && this.priority.getCredit(other) >= this.priority.getCredit(workClass);
            if (order < 0) work += other.queue.queuedWorkMs;
            else if (precedes) work += other.queue.sumWorkDueBy(ticket.req.deadline);
        }
        return Math.min(work / this.estimateAvailableSlots(workClass), this.estimateEntitledWait(ticket, workClass)) > slackMs;
    }

    /**
     * Expected wait of a new ticket if its class gets only the slots that it is entitled to, whatever other classes do, in
     * milliseconds.
     */
    private estimateEntitledWait(ticket: SlotTicket, workClass: ScheduledClass): number {
        if (!this.priority.isShareLimited(workClass)) return Infinity;
        const ownWork = workClass.queue.sumWorkBefore(ticket.req.franchisee, ticket.req.deadline) + this.shares.getDebt(workClass.name);
        return ownWork / this.shares.getEntitlement(workClass.name) + this.estimateRunningWork() / this.slots.count;
    }

    /** Whether a new ticket would wait longer than `slackMs` in rank order, which indicates an overload. */
    public isLateByRank(ticket: SlotTicket, workClass: ScheduledClass, slackMs: number): boolean {
        let work = this.estimateRunningWork() + workClass.queue.sumWorkBefore(ticket.req.franchisee, ticket.req.deadline);
        for (const other of this.classes.values()) {
            if (other === workClass || other.queue.size === 0) continue;
            const order = this.priority.compareRanks(other, workClass);
            if (order < 0) work += other.queue.queuedWorkMs;
            else if (order === 0) work += other.queue.sumWorkDueBy(ticket.req.deadline);
        }
        return work / this.slots.count > slackMs;
    }

    /** Whether a new urgent ticket would wait longer than `slackMs` in deadline order behind urgent work alone. */
    public isLateBehindUrgent(ticket: SlotTicket, workClass: ScheduledClass, slackMs: number): boolean {
        if (workClass.rank !== Rank.Urgent) return false;
        let work = 0;
        for (const running of this.running) work += running.req.rank === Rank.Urgent ? this.estimateRemaining(running) : 0;
        for (const other of this.classes.values()) work += other.rank === Rank.Urgent ? other.queue.sumWorkDueBy(ticket.req.deadline) : 0;
        return work / this.slots.count > slackMs;
    }

    /** Slots available to a class after the demand of the classes that precede it. */
    private estimateAvailableSlots(workClass: ScheduledClass): number {
        let precedingDemand = 0;
        for (const other of this.classes.values()) {
            if (other === workClass || this.priority.compare(other, workClass) >= 0) continue;
            const isBounded = this.overload.isOverloaded && other.rank !== Rank.Urgent;
            const demand = this.shares.getDemand(other.name);
            precedingDemand += isBounded ? Math.min(demand, this.shares.getEntitlement(other.name)) : demand;
        }
        const entitled = this.overload.isOverloaded ? this.shares.getEntitlement(workClass.name) : 0;
        return Math.max(this.slots.count - precedingDemand, entitled, this.slots.count * minSlotsFraction);
    }

    /** Expected remaining time of running statements, in milliseconds of slot time. */
    private estimateRunningWork(): number {
        let work = 0;
        for (const ticket of this.running) work += this.estimateRemaining(ticket);
        return work;
    }

    private estimateRemaining(ticket: SlotTicket): number {
        return Math.max(0, ticket.grantedAt + ticket.estimateMs - this.clock.now());
    }
}
