import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { perform } from "@vanillarouter/base/perform";
import { Err } from "ts-results";
import { SlotRequest } from "./slotRequest";
import { SlotTicketState } from "./slotTicketState";

function noop(): void {}

/**
 * A statement's place in the queue of an upstream and, once granted, its slot.
 *
 * The state is kept here rather than in the waiting task: the task may be cancelled between the grant and its next step,
 * and its `finally` block must still be able to release the slot.
 */
export class SlotTicket {
    public state = SlotTicketState.Waiting;
    public refusal: Err<Failure> | undefined;
    public grantedAt = 0;
    /** Start tag for fair queueing within the class, in milliseconds of slot time. */
    public startTag = 0;
    public isLong = false;
    public cancelTimer: () => void = noop;
    private resume: () => void = noop;

    private constructor(
        public readonly req: SlotRequest,
        public readonly estimateMs: number,
        private readonly reserveMs: number,
        public readonly order: number,
    ) {}

    /**
     * `estimateMs` is the expected slot time; `reserveMs` is the slot time to reserve before the deadline. `order` increases
     * with each ticket; of two tickets of a class with the same deadline, the one with the lower `order` precedes.
     */
    public static create(req: SlotRequest, estimateMs: number, reserveMs: number, order: number): SlotTicket {
        return new SlotTicket(req, estimateMs, reserveMs, order);
    }

    /** Latest time on the owner's clock at which the statement can start and still end in time, in milliseconds. */
    public get latestStart(): number {
        const expected = this.reserveMs + this.req.afterSlotMs;
        // Capped at half of the total time, so that an estimate from a slow period cannot cause a class to be refused permanently.
        return this.req.deadline - Math.min(expected, (this.req.deadline - this.req.arrivedAt) / 2);
    }

    public grant(now: number): void {
        this.state = SlotTicketState.Granted;
        this.grantedAt = now;
        this.settle();
    }

    public refuse(refusal: Err<Failure>): void {
        this.state = SlotTicketState.Refused;
        this.refusal = refusal;
        this.settle();
    }

    /** Waits until the ticket is granted or refused. */
    public wait(): Operation<void> {
        return perform<void>({
            start: resume => {
                if (this.state === SlotTicketState.Waiting) this.resume = resume;
                else resume();
                return noop;
            },
        });
    }

    private settle(): void {
        this.cancelTimer();
        this.cancelTimer = noop;
        this.resume();
        this.resume = noop;
    }
}
