import { Clock } from "@vanillarouter/base/clock";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { Rank } from "@vanillarouter/base/rank";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Task } from "@vanillarouter/base/task";
import { Err, Ok, Result } from "ts-results";
import { ClassQueue } from "./classQueue";
import { Diagnostics } from "./diagnostics";
import { LongStatementLimit } from "./longStatementLimit";
import { OrdinaryShares } from "./ordinaryShares";
import { OverloadMonitor } from "./overloadMonitor";
import { ServiceTimes } from "./serviceTimes";
import { SharedRates } from "./sharedRates";
import { SlotRequest } from "./slotRequest";
import { SlotTicket } from "./slotTicket";
import { SlotTicketState } from "./slotTicketState";
import { StatementScheduler } from "./statementScheduler";

/** Waiting statements of one upstream. Bounds memory; at a few milliseconds each it is more than any target can wait for. */
const maxWaiting = 1_024;

/** Refusals kept for reuse. */
const maxRefusals = 1_000;

const rankOrder: Readonly<Record<Rank, number>> = { [Rank.Urgent]: 0, [Rank.Standard]: 1, [Rank.Background]: 2 };

interface ClassState {
    readonly name: string;
    readonly queue: ClassQueue;
    readonly times: ServiceTimes;
    rank: Rank;
}

/**
 * One queue for the slots of an upstream, for all callers.
 *
 * Without an overload the order is rank, then earliest deadline. During an overload, classes within their ordinary share
 * go before the work of classes in excess of it. Urgent work counts as within its share as long as urgent demand as a
 * whole fits the upstream, because urgent targets must then hold whatever else arrives.
 */
export class SlotScheduler implements StatementScheduler {
    private readonly classes = new Map<string, ClassState>();
    private readonly running = new Set<SlotTicket>();
    private readonly shares: OrdinaryShares;
    private readonly overload: OverloadMonitor;
    private readonly longStatements: LongStatementLimit;
    /** One refusal for each class and reason, as making an `Err` costs a stack trace and an overload refuses thousands a second. */
    private readonly refusals = new Map<string, Err<Failure>>();
    private waiting = 0;
    private order = 0;

    private constructor(private readonly clock: Clock, private readonly slots: number, initial?: SharedRates) {
        this.shares = OrdinaryShares.create(clock, slots, initial);
        this.overload = OverloadMonitor.create(clock, slots);
        this.longStatements = LongStatementLimit.create(clock, slots);
    }

    public static create(clock: Clock, slots: number, initial?: SharedRates): SlotScheduler {
        return new SlotScheduler(clock, slots, initial);
    }

    public get waitingCount(): number {
        return this.waiting;
    }

    public get runningCount(): number {
        return this.running.size;
    }

    /** Measured ordinary shares, in milliseconds of slot time per second. */
    public exportRates(): Readonly<Record<string, number>> {
        return this.shares.exportRates();
    }

    /** Takes over shares that a previous owner measured. */
    public adoptRates(rates: SharedRates): void {
        this.shares.adopt(rates);
    }

    /** Expected wait of a new statement of the standard rank, in milliseconds. */
    public estimateDelay(): number {
        let work = this.running.size < this.slots ? 0 : this.measureResidual();
        for (const state of this.classes.values()) work += state.queue.queuedWorkMs;
        return work / this.slots;
    }

    /**
     * Runs `work` in a slot, or returns why the statement did not run. The slot is free again when `work` ends.
     *
     * A caller that is cancelled while it waits gives up its place. Once `work` has begun it goes on to its end, as the
     * upstream goes on too: freeing the slot earlier would send more statements than the upstream executes at a time.
     */
    public *run<T>(req: SlotRequest, work: () => Operation<T>): Operation<Result<T, Failure>> {
        const ticket = this.enqueue(req);
        let hasBegun = false;
        try {
            yield* ticket.wait();
            if (ticket.refusal !== undefined) return ticket.refusal;
            const task = Task.start(this.occupy(ticket, work));
            hasBegun = true;
            return Ok(yield* task.join());
        }
        finally {
            if (!hasBegun) this.release(ticket);
        }
    }

    private *occupy<T>(ticket: SlotTicket, work: () => Operation<T>): Operation<T> {
        try {
            const value = yield* work();
            this.recordServiceTime(ticket);
            return value;
        }
        finally {
            this.release(ticket);
        }
    }

    private enqueue(req: SlotRequest): SlotTicket {
        const state = this.obtainClass(req.className);
        state.rank = req.rank;
        const ticket = SlotTicket.create(req, state.times.meanMs, this.order++);
        this.noteArrival(ticket, state);
        if (this.waiting > 0 || this.running.size >= this.slots) this.checkFeasible(ticket, state);
        if (ticket.state !== SlotTicketState.Waiting) return ticket;
        state.queue.add(ticket);
        this.waiting++;
        this.dispatch();
        if (ticket.state !== SlotTicketState.Waiting) return ticket;
        ticket.cancelTimer = this.clock.startTimer(ticket.latestStart - this.clock.now(), () => this.giveUp(ticket));
        if (this.waiting > maxWaiting) this.shedOne();
        return ticket;
    }

    private noteArrival(ticket: SlotTicket, state: ClassState): void {
        this.shares.noteDemand(state.name, ticket.estimateMs);
        this.overload.noteDemand(ticket.req.rank, ticket.estimateMs);
        this.longStatements.noteArrival(ticket);
        this.shares.update(this.overload.isOverloaded);
    }

    /**
     * Refuses a statement that would wait past its deadline. A first sign of an overload only changes the order, so that
     * the statement is refused only if it would also be late in the order that holds during an overload.
     */
    private checkFeasible(ticket: SlotTicket, state: ClassState): void {
        const slack = ticket.latestStart - this.clock.now();
        if (state.rank === Rank.Urgent && this.measureUrgentWorkAhead(ticket) / this.slots > slack) this.overload.noteUrgentMiss();
        if (this.measureWorkAhead(ticket, state, false) / this.slots > slack) this.overload.noteMiss(state.rank);
        if (this.isFeasible(ticket, state, slack)) return;
        if (!this.overload.isOverloaded) {
            this.overload.noteMiss(state.rank);
            if (this.isFeasible(ticket, state, slack)) return;
        }
        ticket.refuse(this.findRefusal(ticket));
    }

    private isFeasible(ticket: SlotTicket, state: ClassState, slackMs: number): boolean {
        return this.measureWorkAhead(ticket, state, true) / this.estimateRate(state) <= slackMs;
    }

    /** Expected slot time of urgent work that runs before a new urgent ticket in the order of deadlines, in milliseconds. */
    private measureUrgentWorkAhead(ticket: SlotTicket): number {
        let work = 0;
        for (const running of this.running) work += running.req.rank === Rank.Urgent ? this.measureRemaining(running) : 0;
        for (const state of this.classes.values()) work += state.rank === Rank.Urgent ? state.queue.measureWorkDueBy(ticket.req.deadline) : 0;
        return work;
    }

    /** Expected slot time of what runs before a new ticket, by rank alone or with ordinary shares, in milliseconds. */
    private measureWorkAhead(ticket: SlotTicket, state: ClassState, withShares: boolean): number {
        const level = withShares ? this.readLevel(state) : 0;
        let work = this.measureResidual();
        for (const other of this.classes.values()) {
            if (other.queue.size === 0) continue;
            const otherLevel = withShares ? this.readLevel(other) : 0;
            const difference = otherLevel - level || rankOrder[other.rank] - rankOrder[state.rank];
            if (other === state) work += other.queue.measureWorkBefore(ticket.req.franchisee, ticket.req.deadline);
            else if (difference < 0) work += other.queue.queuedWorkMs;
            else if (difference === 0 && !(withShares && this.readCredit(other) < this.readCredit(state))) {
                work += other.queue.measureWorkDueBy(ticket.req.deadline);
            }
        }
        return work;
    }

    /** Slots that are left for a class after the demand of those that go before it. */
    private estimateRate(state: ClassState): number {
        const level = this.readLevel(state);
        let before = 0;
        for (const other of this.classes.values()) {
            if (other === state) continue;
            const otherLevel = this.readLevel(other);
            const goesBefore = otherLevel < level || (otherLevel === level && rankOrder[other.rank] < rankOrder[state.rank]);
            const isBounded = this.overload.isOverloaded && other.rank !== Rank.Urgent;
            const demand = this.shares.readDemand(other.name);
            if (goesBefore) before += isBounded ? Math.min(demand, this.shares.readEntitlement(other.name)) : demand;
        }
        const entitled = this.overload.isOverloaded ? this.shares.readEntitlement(state.name) : 0;
        return Math.max(this.slots - before, entitled, this.slots * 0.05);
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

    /** Whether ordinary shares decide about a class now. */
    private isLimited(state: ClassState): boolean {
        return this.overload.isOverloaded && (state.rank !== Rank.Urgent || this.overload.isUrgentOverloaded);
    }

    /** 0: by rank alone or within the ordinary share; 1: in excess of the share during an overload. */
    private readLevel(state: ClassState): number {
        return this.isLimited(state) && this.shares.readCredit(state.name) <= 0 ? 1 : 0;
    }

    /** Credit that orders classes of one rank during an overload: a surging class has less left than an ordinary one. */
    private readCredit(state: ClassState): number {
        return this.isLimited(state) ? this.shares.readCredit(state.name) : 0;
    }

    private dispatch(): void {
        while (this.running.size < this.slots && this.waiting > 0) {
            const ticket = this.pickNext();
            if (ticket === undefined) return;
            this.start(ticket);
        }
    }

    private pickNext(): SlotTicket | undefined {
        let best: SlotTicket | undefined;
        let bestState: ClassState | undefined;
        for (const state of this.classes.values()) {
            const head = state.queue.peek();
            if (head === undefined || !this.longStatements.mayStart(state.rank, state.times)) continue;
            if (best === undefined || this.goesBefore(head, state, best, bestState!)) {
                best = head;
                bestState = state;
            }
        }
        return best;
    }

    private goesBefore(first: SlotTicket, firstState: ClassState, second: SlotTicket, secondState: ClassState): boolean {
        const byRank = this.readLevel(firstState) - this.readLevel(secondState) || rankOrder[firstState.rank] - rankOrder[secondState.rank];
        if (byRank !== 0) return byRank < 0;
        if (first.req.continuesWork !== second.req.continuesWork) return first.req.continuesWork;
        const byCredit = this.readCredit(firstState) - this.readCredit(secondState);
        return byCredit !== 0 ? byCredit > 0 : first.req.deadline < second.req.deadline;
    }

    private start(ticket: SlotTicket): void {
        const state = this.obtainClass(ticket.req.className);
        state.queue.take(ticket);
        this.waiting--;
        this.shares.charge(state.name, ticket.estimateMs);
        ticket.isLong = this.longStatements.isLong(state.rank, state.times);
        this.longStatements.noteStart(ticket);
        this.running.add(ticket);
        ticket.grant(this.clock.now());
    }

    private release(ticket: SlotTicket): void {
        if (ticket.state === SlotTicketState.Waiting) this.discard(ticket);
        const wasRunning = this.running.delete(ticket);
        if (wasRunning) {
            const used = this.clock.now() - ticket.grantedAt;
            this.shares.charge(ticket.req.className, used - ticket.estimateMs);
            this.longStatements.noteEnd(ticket);
        }
        ticket.cancelTimer();
        ticket.state = SlotTicketState.Done;
        if (wasRunning) this.dispatch();
    }

    private recordServiceTime(ticket: SlotTicket): void {
        this.obtainClass(ticket.req.className).times.record(this.clock.now() - ticket.grantedAt);
    }

    private giveUp(ticket: SlotTicket): void {
        if (ticket.state !== SlotTicketState.Waiting) return;
        this.overload.noteMiss(ticket.req.rank);
        this.discard(ticket);
        ticket.refuse(this.findRefusal(ticket));
    }

    private shedOne(): void {
        let worst: ClassState | undefined;
        for (const state of this.classes.values()) {
            if (state.queue.size === 0) continue;
            const difference = worst === undefined ? 1 : this.readLevel(state) - this.readLevel(worst) || rankOrder[state.rank] - rankOrder[worst.rank];
            if (difference > 0) worst = state;
        }
        const ticket = worst?.queue.peekLeastEntitled();
        if (ticket !== undefined) this.giveUp(ticket);
    }

    private discard(ticket: SlotTicket): void {
        this.obtainClass(ticket.req.className).queue.discard(ticket);
        this.waiting--;
    }

    private findRefusal(ticket: SlotTicket): Err<Failure> {
        const state = this.obtainClass(ticket.req.className);
        if (this.readLevel(state) > 0) {
            return this.obtainRefusal(`share ${state.name}`, () => createFailure(Diagnostics.shareExceeded, RunOutcome.DidNotRun, state.name));
        }
        const target = Math.round(ticket.req.deadline - ticket.req.arrivedAt);
        return this.obtainRefusal(`target ${target}`, () => createFailure(Diagnostics.deadlineNotFeasible, RunOutcome.DidNotRun, target));
    }

    private obtainRefusal(key: string, create: () => Failure): Err<Failure> {
        let refusal = this.refusals.get(key);
        if (refusal === undefined) {
            refusal = Err(create());
            if (this.refusals.size >= maxRefusals) this.refusals.clear();
            this.refusals.set(key, refusal);
        }
        return refusal;
    }

    private obtainClass(name: string): ClassState {
        let state = this.classes.get(name);
        if (state === undefined) {
            state = { name, queue: ClassQueue.create(), times: ServiceTimes.create(), rank: Rank.Standard };
            this.classes.set(name, state);
        }
        return state;
    }
}
