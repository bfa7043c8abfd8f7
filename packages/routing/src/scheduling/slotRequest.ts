import { Rank } from "@vanillarouter/base/rank";

/** What the scheduler needs to know about a statement that wants a slot. */
export interface SlotRequest {
    readonly className: string;
    readonly rank: Rank;
    readonly franchisee: string;
    /** Arrival time on the owner's clock, in milliseconds. */
    readonly arrivedAt: number;
    /** Time on the owner's clock by which the answer is due, in milliseconds. */
    readonly deadline: number;
    /** Time that the answer needs after the slot is free again, such as the acknowledgement of a write, in milliseconds. */
    readonly afterSlotMs: number;
    /** Whether the statement continues work that already holds locks on the upstream. */
    readonly continuesWork: boolean;
}
