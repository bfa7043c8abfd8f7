import { Rank } from "@vanillarouter/base/rank";

/** A request to open a transaction on a primary. */
export interface TransactionRequest {
    /** Transaction id, which the group records with the commit. */
    readonly requestId: string;
    readonly upstream: string;
    readonly group: string;
    readonly className: string;
    readonly rank: Rank;
    readonly franchisee: string;
    readonly term: number;
    /** Time left for the whole transaction when the request was sent, in milliseconds. */
    readonly timeoutMs: number;
    /** VM that accepted the caller's connection. The owner rolls the transaction back when that VM is gone. */
    readonly entryVm?: string;
}
