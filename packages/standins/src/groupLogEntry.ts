import { GroupOperation } from "./groupOperation";

/** A log entry of a group: a committed write or transaction, a cancellation, or the empty entry of a promotion. */
export interface GroupLogEntry {
    readonly term: number;
    /** Index in the log, from 1, without gaps. */
    readonly position: number;
    /** Id of the request that wrote the entry. In a cancellation, id of the cancelled request. */
    readonly requestId?: string;
    /** Whether the entry records that the request is cancelled. */
    readonly cancelled?: boolean;
    readonly operations: readonly GroupOperation[];
    /** SQL texts of the statements that produced the operations. */
    readonly statements: readonly string[];
    /** Id of the transaction, unique on the upstream that executed it. Absent for a statement outside a transaction. */
    readonly transaction?: string;
    readonly affectedRows: number;
    readonly insertId: number;
}
