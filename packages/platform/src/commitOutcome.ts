/** What became of a store transaction that was answered. */
export interface CommitOutcome {
    readonly committed: boolean;
    /** Versions of the written keys if it was committed. */
    readonly versions: ReadonlyMap<string, number>;
}
