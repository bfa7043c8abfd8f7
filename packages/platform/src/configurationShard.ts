import { ShardItem } from "./shardItem";

/** A validated shard of the configuration. */
export interface ConfigurationShard {
    readonly name: string;
    /**
     * Orders the states of the shard; 0 for a shard that the store does not hold yet. It is the store's modify index, or the version in
     * the stored document if that is higher, as after the store has come back from a backup and its index with it.
     */
    readonly version: number;
    /** Id of the change that last wrote the shard; empty for version 0. */
    readonly changeId: string;
    readonly items: ReadonlyMap<string, ShardItem>;
}
