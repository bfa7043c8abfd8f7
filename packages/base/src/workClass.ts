import { Rank } from "./rank";

/**
 * A class of work, as configured by operators. Its rank, target and limits are its only settings: operators assign neither
 * weights nor upstreams to it.
 */
export interface WorkClass {
    readonly name: string;
    readonly rank: Rank;
    /** Target for the time from arrival at the entry VM to the complete response, in milliseconds. */
    readonly targetMs: number;
    /** Maximum age of the data that a read may return, in milliseconds. If absent, reads return the latest acknowledged state. */
    readonly maxAgeMs?: number;
    /** Whether writes are refused. */
    readonly readOnly: boolean;
}
