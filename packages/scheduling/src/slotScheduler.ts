import { Clock } from "@vanillarouter/base/clock";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { Rank } from "@vanillarouter/base/rank";
import { Task } from "@vanillarouter/base/task";
import { Ok, Result } from "ts-results";
import { ClassPriority } from "./classPriority";
import { ClassQueue } from "./classQueue";
import { LongStatementLimit } from "./longStatementLimit";
import { MeasuredShares } from "./measuredShares";
import { OrdinaryShares } from "./ordinaryShares";
import { OverloadMonitor } from "./overloadMonitor";
import { RefusalCache } from "./refusalCache";
import { ScheduledClass } from "./scheduledClass";
import { ServiceTimes } from "./serviceTimes";
import { SlotCount } from "./slotCount";
import { SlotRequest } from "./slotRequest";
import { SlotTicket } from "./slotTicket";
import { SlotTicketState } from "./slotTicketState";
import { StatementScheduler } from "./statementScheduler";
import { WaitEstimator } from "./waitEstimator";

/**
 * Maximum number of waiting statements per upstream. Bounds the memory used. At a few milliseconds per statement, statements
 * behind a longer queue would miss any target.
 */
const maxQueueLength = 1_024;

/**
 * Time after which a statement that holds locks starts even without a free slot, in milliseconds. The statements in the
 * slots may be waiting for these locks; then no slot becomes free until it has run.
 */
const lockHolderDelayMs = 50;
/** Maximum number of lock-holding statements that may run in addition to those in the slots. */
const maxExtraLockHolders = 1;

/**
 * Schedules statements of all callers onto the slots of one upstream.
 *
 * Without an overload, the order is by rank, then by earliest deadline. During an overload, classes within their ordinary
 * share precede classes in excess of theirs. Urgent work counts as within its share as long as total urgent demand fits
 * the upstream's capacity, because urgent targets must then be met whatever else arrives.
 */
export class SlotScheduler implements StatementScheduler {
    private readonly classes = new Map<string, ScheduledClass>();
    private readonly running = new Set<SlotTicket>();
    private readonly shares: OrdinaryShares;
    private readonly overload: OverloadMonitor;
    private readonly priority: ClassPriority;
    private readonly waitEstimator: WaitEstimator;
    private readonly longStatements: LongStatementLimit;
    private readonly refusals = RefusalCache.create();
    private waiting = 0;
    private nextOrder = 0;

    private constructor(private readonly clock: Clock, private readonly slots: SlotCount, initial?: MeasuredShares) {
        this.shares = OrdinaryShares.create(clock, slots, initial);
        this.overload = OverloadMonitor.create(clock, slots);
        this.longStatements = LongStatementLimit.create(clock, slots);
        this.priority = ClassPriority.create(this.shares, this.overload);
        this.waitEstimator = WaitEstimator.create(clock, slots, this.classes, this.running, this.shares, this.overload, this.priority);
    }

    public static create(clock: Clock, slots: number, initial?: MeasuredShares): SlotScheduler {
        return new SlotScheduler(clock, SlotCount.create(slots), initial);
    }

    /** Changes the number of slots. Statements beyond a lower number finish, but no more start until enough have. */
    public setSlots(slots: number): void {
        if (slots === this.slots.count) return;
        this.slots.set(slots);
        this.dispatch();
    }

    public get waitingCount(): number {
        return this.waiting;
    }

    public get runningCount(): number {
        return this.running.size;
    }

    /** Measured ordinary shares, in milliseconds of slot time per second. */
    public exportShares(): Readonly<Record<string, number>> {
        return this.shares.exportShares();
    }

    /** Imports shares that a previous owner measured. */
    public importShares(shares: MeasuredShares): void {
        this.shares.importShares(shares);
    }

    /** Expected wait of a new statement behind all waiting ones, in milliseconds. */
    public estimateDelay(): number {
        return this.waitEstimator.estimateDelay();
    }

    /**
     * Runs `operation` in a slot, or returns the reason why it was refused. The slot is released when `operation` ends.
     *
     * A task that is cancelled while it waits loses its place in the queue. Once started, `operation` runs to its end even
     * if the task is cancelled, because the upstream continues too: releasing the slot earlier would send the upstream more
     * statements than it executes at a time.
     */
    public *run<T>(req: SlotRequest, operation: () => Operation<T>): Operation<Result<T, Failure>> {
        const ticket = this.enqueue(req);
        let hasBegun = false;
        try {
            yield* ticket.wait();
            if (ticket.refusal !== undefined) return ticket.refusal;
            const task = Task.start(this.runInSlot(ticket, operation));
            hasBegun = true;
            return Ok(yield* task.join());
        }
        finally {
            if (!hasBegun) this.release(ticket);
        }
    }

    private *runInSlot<T>(ticket: SlotTicket, operation: () => Operation<T>): Operation<T> {
        try {
            const value = yield* operation();
            this.recordServiceTime(ticket);
            return value;
        }
        finally {
            this.release(ticket);
        }
    }

    private enqueue(req: SlotRequest): SlotTicket {
        const workClass = this.getOrCreateClass(req.className);
        workClass.rank = req.rank;
        const ticket = SlotTicket.create(req, workClass.times.meanMs, workClass.times.reserveMs, this.nextOrder++);
        this.recordArrival(ticket, workClass);
        if (this.waiting > 0 || this.running.size >= this.slots.count) this.refuseIfLate(ticket, workClass);
        if (ticket.state !== SlotTicketState.Waiting) return ticket;
        workClass.queue.add(ticket);
        this.waiting++;
        this.dispatch();
        if (ticket.state !== SlotTicketState.Waiting) return ticket;
        ticket.cancelTimer = this.clock.startTimer(ticket.latestStart - this.clock.now(), () => this.refuseWaiting(ticket));
        if (req.continuesWork) this.clock.startTimer(lockHolderDelayMs, () => this.startLockHolder(ticket));
        if (this.waiting > maxQueueLength) this.shedTicket();
        return ticket;
    }

    private recordArrival(ticket: SlotTicket, workClass: ScheduledClass): void {
        this.shares.recordDemand(workClass.name, ticket.estimateMs);
        this.overload.recordDemand(ticket.req.rank, ticket.estimateMs);
        this.longStatements.recordArrival(ticket);
        this.shares.update(this.overload.isOverloaded);
    }

    /**
     * Refuses a statement that would miss its deadline while waiting. The first sign of an overload only changes the order;
     * the statement is refused only if it would also be late in the order used during an overload.
     */
    private refuseIfLate(ticket: SlotTicket, workClass: ScheduledClass): void {
        const slack = ticket.latestStart - this.clock.now();
        if (this.waitEstimator.isLateBehindUrgent(ticket, workClass, slack)) this.overload.recordUrgentMiss();
        if (this.waitEstimator.isLateByRank(ticket, workClass, slack)) this.overload.recordMiss(workClass.rank);
        if (!this.waitEstimator.isLate(ticket, workClass, slack)) return;
        if (!this.overload.isOverloaded) {
            this.overload.recordMiss(workClass.rank);
            if (!this.waitEstimator.isLate(ticket, workClass, slack)) return;
        }
        ticket.refuse(this.refusals.getRefusal(ticket, this.priority.isInExcess(this.getOrCreateClass(ticket.req.className))));
    }

    private dispatch(): void {
        while (this.running.size < this.slots.count && this.waiting > 0) {
            const ticket = this.pickNext();
            if (ticket === undefined) return;
            this.start(ticket);
        }
    }

    private startLockHolder(ticket: SlotTicket): void {
        if (ticket.state !== SlotTicketState.Waiting) return;
        if (this.running.size < this.slots.count + maxExtraLockHolders) this.start(ticket);
        else this.clock.startTimer(lockHolderDelayMs, () => this.startLockHolder(ticket));
    }

    private pickNext(): SlotTicket | undefined {
        let best: SlotTicket | undefined;
        let bestClass: ScheduledClass | undefined;
        for (const workClass of this.classes.values()) {
            const head = workClass.queue.peek();
            if (head === undefined || !this.longStatements.mayStart(workClass.rank, workClass.times)) continue;
            if (best === undefined || this.priority.precedes(head, workClass, best, bestClass!)) {
                best = head;
                bestClass = workClass;
            }
        }
        return best;
    }

    private start(ticket: SlotTicket): void {
        const workClass = this.getOrCreateClass(ticket.req.className);
        workClass.queue.start(ticket);
        this.waiting--;
        this.shares.charge(workClass.name, ticket.estimateMs);
        ticket.isLong = this.longStatements.isLong(workClass.rank, workClass.times);
        this.longStatements.recordStart(ticket);
        this.running.add(ticket);
        ticket.grant(this.clock.now());
    }

    private release(ticket: SlotTicket): void {
        if (ticket.state === SlotTicketState.Waiting) this.discard(ticket);
        const wasRunning = this.running.delete(ticket);
        if (wasRunning) {
            const used = this.clock.now() - ticket.grantedAt;
            this.shares.charge(ticket.req.className, used - ticket.estimateMs);
            this.longStatements.recordEnd(ticket);
        }
        ticket.cancelTimer();
        ticket.state = SlotTicketState.Done;
        if (wasRunning) this.dispatch();
    }

    private recordServiceTime(ticket: SlotTicket): void {
        this.getOrCreateClass(ticket.req.className).times.record(this.clock.now() - ticket.grantedAt);
    }

    private refuseWaiting(ticket: SlotTicket): void {
        if (ticket.state !== SlotTicketState.Waiting) return;
        this.overload.recordMiss(ticket.req.rank);
        this.discard(ticket);
        ticket.refuse(this.refusals.getRefusal(ticket, this.priority.isInExcess(this.getOrCreateClass(ticket.req.className))));
    }

    private shedTicket(): void {
        let lowest: ScheduledClass | undefined;
        for (const workClass of this.classes.values()) {
            if (workClass.queue.size === 0) continue;
            if (lowest === undefined || this.priority.compare(lowest, workClass) < 0) lowest = workClass;
        }
        const ticket = lowest?.queue.peekFirstToShed();
        if (ticket !== undefined) this.refuseWaiting(ticket);
    }

    private discard(ticket: SlotTicket): void {
        this.getOrCreateClass(ticket.req.className).queue.discard(ticket);
        this.waiting--;
    }

    private getOrCreateClass(name: string): ScheduledClass {
        let workClass = this.classes.get(name);
        if (workClass === undefined) {
            workClass = { name, queue: ClassQueue.create(), times: ServiceTimes.create(), rank: Rank.Standard };
            this.classes.set(name, workClass);
        }
        return workClass;
    }
}
