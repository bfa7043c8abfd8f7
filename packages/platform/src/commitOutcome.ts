/** Outcome of a store transaction to which the store has responded. */
export interface CommitOutcome {
    readonly committed: boolean;
    /** Versions of the written keys if the transaction was committed. */
    readonly versions: ReadonlyMap<string, number>;
}
