import { Rank } from "@vanillarouter/base/rank";

/** A statement's request for a slot. */
export interface SlotRequest {
    readonly className: string;
    readonly rank: Rank;
    readonly franchisee: string;
    /** Arrival time on the owner's clock, in milliseconds. */
    readonly arrivedAt: number;
    /** Time on the owner's clock by which the response is due, in milliseconds. */
    readonly deadline: number;
    /** Time needed after the slot is released, such as for the acknowledgement of a write, in milliseconds. */
    readonly afterSlotMs: number;
    /** Whether the statement continues work that may already hold locks on the upstream. */
    readonly continuesWork: boolean;
}
