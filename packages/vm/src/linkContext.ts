import { OpenTransactions } from "./openTransactions";

/** State of one incoming link. */
export interface LinkContext {
    readonly transactions: OpenTransactions;
}
