/** Confirms that a change is in the store. */
export interface ConfigurationReceipt {
    readonly changeId: string;
    /** Versions of the changed shards by shard name; empty when the store's reply was lost and the change was found by its id. */
    readonly versions: ReadonlyMap<string, number>;
}
