import { Rank } from "./rank";

/** A class of work and its target, as stated by operators. Operators state nothing else: no weights, no upstreams. */
export interface WorkClass {
    readonly name: string;
    readonly rank: Rank;
    /** Time from arrival at the entry VM to the whole answer, in milliseconds. */
    readonly targetMs: number;
    /** Greatest age of data that a read may see, in milliseconds. Absent: a read sees the latest acknowledged state. */
    readonly maxAgeMs?: number;
    /** Whether writes are refused. */
    readonly readOnly: boolean;
}
