/** Confirms that the store has committed a change. */
export interface ConfigurationReceipt {
    readonly changeId: string;
    /** Versions of the changed shards by shard name; empty if the store's response was lost and the commit was confirmed through the audit record. */
    readonly versions: ReadonlyMap<string, number>;
}
