import { GroupOperation } from "./groupOperation";

/** One entry of a group's log: a committed write or transaction, a cancellation, or the empty entry of a promotion. */
export interface GroupEntry {
    readonly term: number;
    /** From 1, without gaps. */
    readonly position: number;
    /** Request id recorded with the entry. */
    readonly requestId?: string;
    /** Whether the entry records the request id as cancelled. */
    readonly cancelled?: boolean;
    readonly operations: readonly GroupOperation[];
    /** Statements that made the operations. */
    readonly statements: readonly string[];
    /** Id of the transaction on this upstream; absent for a single statement. */
    readonly transaction?: string;
    readonly affectedRows: number;
    readonly insertId: number;
}
