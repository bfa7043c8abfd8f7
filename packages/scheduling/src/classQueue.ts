import { SlotTicket } from "./slotTicket";

/** Slot time by which a franchisee may be ahead of the others in its class, in milliseconds. */
const fairnessAllowanceMs = 20;

interface FranchiseeQueue {
    readonly tickets: SlotTicket[];
    /** Lower bound of the start tag of the franchisee's next ticket, in milliseconds of slot time. */
    nextStartTag: number;
}

function precedes(first: SlotTicket, second: SlotTicket): boolean {
    if (first.req.continuesWork !== second.req.continuesWork) return first.req.continuesWork;
    return first.req.deadline < second.req.deadline || (first.req.deadline === second.req.deadline && first.order < second.order);
}

/**
 * The waiting tickets of one class. Start-time fair queueing determines which franchisees are eligible; the eligible ticket
 * with the earliest deadline starts first.
 */
export class ClassQueue {
    private readonly franchisees = new Map<string, FranchiseeQueue>();
    private virtualTime = 0;
    private count = 0;
    private queuedMs = 0;

    private constructor() {}

    public static create(): ClassQueue {
        return new ClassQueue();
    }

    public get size(): number {
        return this.count;
    }

    /** Expected slot time of all waiting tickets, in milliseconds. */
    public get queuedWorkMs(): number {
        return this.queuedMs;
    }

    public add(ticket: SlotTicket): void {
        const queue = this.getOrCreateQueue(ticket.req.franchisee);
        ticket.startTag = Math.max(this.virtualTime, queue.nextStartTag);
        queue.nextStartTag = ticket.startTag + ticket.estimateMs;
        const index = queue.tickets.findIndex(other => precedes(ticket, other));
        queue.tickets.splice(index < 0 ? queue.tickets.length : index, 0, ticket);
        this.count++;
        this.queuedMs += ticket.estimateMs;
    }

    public remove(ticket: SlotTicket): void {
        const queue = this.franchisees.get(ticket.req.franchisee);
        const index = queue?.tickets.indexOf(ticket) ?? -1;
        if (queue === undefined || index < 0) return;
        queue.tickets.splice(index, 1);
        this.count--;
        this.queuedMs = this.count === 0 ? 0 : this.queuedMs - ticket.estimateMs;
        if (queue.tickets.length === 0 && queue.nextStartTag <= this.virtualTime) this.franchisees.delete(ticket.req.franchisee);
    }

    /** Removes a ticket whose statement starts. */
    public start(ticket: SlotTicket): void {
        this.remove(ticket);
        // An eligible ticket may start before one with a lower start tag; virtual time must not advance past that lower tag.
        this.virtualTime = Math.max(this.virtualTime, Math.min(ticket.startTag, this.findLowestStartTag()));
        if (this.count === 0) this.reset();
    }

    /** Removes a ticket that will never start, without charging its franchisee. */
    public discard(ticket: SlotTicket): void {
        const queue = this.franchisees.get(ticket.req.franchisee);
        if (queue !== undefined) queue.nextStartTag -= ticket.estimateMs;
        this.remove(ticket);
    }

    /** The ticket to start next. */
    public peek(): SlotTicket | undefined {
        const maxStartTag = this.findLowestStartTag() + fairnessAllowanceMs;
        let best: SlotTicket | undefined;
        for (const queue of this.franchisees.values()) {
            const head = queue.tickets[0];
            if (head === undefined || (head.startTag > maxStartTag && !head.req.continuesWork)) continue;
            if (best === undefined || precedes(head, best)) best = head;
        }
        return best;
    }

    /** The ticket to shed first: among the last tickets of all franchisees, the one with the highest start tag. */
    public peekFirstToShed(): SlotTicket | undefined {
        let candidate: SlotTicket | undefined;
        for (const queue of this.franchisees.values()) {
            const last = queue.tickets.at(-1);
            if (last !== undefined && (candidate === undefined || last.startTag > candidate.startTag)) candidate = last;
        }
        return candidate;
    }

    /**
     * Expected slot time of the waiting tickets that would start before a new ticket with the given franchisee and deadline,
     * in milliseconds.
     */
    public sumWorkBefore(franchisee: string, deadline: number): number {
        const startTag = Math.max(this.virtualTime, this.franchisees.get(franchisee)?.nextStartTag ?? 0);
        let work = 0;
        for (const queue of this.franchisees.values()) {
            for (const ticket of queue.tickets) {
                const isEligibleAndDueFirst = ticket.startTag <= startTag + fairnessAllowanceMs && ticket.req.deadline <= deadline;
                if (isEligibleAndDueFirst || ticket.startTag + fairnessAllowanceMs < startTag) work += ticket.estimateMs;
            }
        }
        return work;
    }

    /** Expected slot time of the waiting tickets with a deadline no later than `deadline`, in milliseconds. */
    public sumWorkDueBy(deadline: number): number {
        let work = 0;
        for (const queue of this.franchisees.values()) {
            for (const ticket of queue.tickets) {
                if (ticket.req.deadline > deadline) break;
                work += ticket.estimateMs;
            }
        }
        return work;
    }

    private findLowestStartTag(): number {
        let lowest = Infinity;
        for (const queue of this.franchisees.values()) {
            const head = queue.tickets[0];
            if (head !== undefined) lowest = Math.min(lowest, head.startTag);
        }
        return lowest;
    }

    private getOrCreateQueue(franchisee: string): FranchiseeQueue {
        let queue = this.franchisees.get(franchisee);
        if (queue === undefined) {
            queue = { tickets: [], nextStartTag: 0 };
            this.franchisees.set(franchisee, queue);
        }
        return queue;
    }

    /** While no ticket waits, no franchisee is behind another, so no per-franchisee state is needed. */
    private reset(): void {
        this.franchisees.clear();
        this.virtualTime = 0;
    }
}
