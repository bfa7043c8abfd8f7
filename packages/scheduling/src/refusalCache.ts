import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Err } from "ts-results";
import { Diagnostics } from "./diagnostics";
import { SlotTicket } from "./slotTicket";

/** Number of refusals kept for reuse. */
const maxRefusals = 1_000;

/**
 * Caches the refusals of statements that get no slot, one per class or target. Creating an `Err` captures a stack trace,
 * which costs too much when an overload refuses thousands of statements a second.
 */
export class RefusalCache {
    private readonly refusals = new Map<string, Err<Failure>>();

    private constructor() {}

    public static create(): RefusalCache {
        return new RefusalCache();
    }

    /** Returns the refusal for a ticket. `isInExcess` says whether the ticket's class exceeds its ordinary share. */
    public getRefusal(ticket: SlotTicket, isInExcess: boolean): Err<Failure> {
        const { className, deadline, arrivedAt } = ticket.req;
        if (isInExcess) return this.getOrCreate(`share ${className}`, () => createFailure(Diagnostics.shareExceeded, RunOutcome.DidNotRun, className));
        const target = Math.round(deadline - arrivedAt);
        return this.getOrCreate(`target ${target}`, () => createFailure(Diagnostics.deadlineNotFeasible, RunOutcome.DidNotRun, target));
    }

    private getOrCreate(key: string, create: () => Failure): Err<Failure> {
        let refusal = this.refusals.get(key);
        if (refusal === undefined) {
            refusal = Err(create());
            if (this.refusals.size >= maxRefusals) this.refusals.clear();
            this.refusals.set(key, refusal);
        }
        return refusal;
    }
}
