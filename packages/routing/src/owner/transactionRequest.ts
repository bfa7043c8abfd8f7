import { Rank } from "@vanillarouter/base/rank";

/** Opens a transaction on a primary. */
export interface TransactionRequest {
    /** Id of the transaction; recorded by the group with its commit. */
    readonly requestId: string;
    readonly upstream: string;
    readonly group: string;
    readonly className: string;
    readonly rank: Rank;
    readonly franchisee: string;
    readonly term: number;
    /** Time left for the whole transaction, in milliseconds. */
    readonly timeoutMs: number;
    /** VM of the caller's connection. The owner rolls the transaction back when that VM is gone. */
    readonly entryVm?: string;
}
