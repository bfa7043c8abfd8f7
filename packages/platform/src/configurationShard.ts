import { ShardItem } from "./shardItem";

/** One shard of the configuration in a checked form. */
export interface ConfigurationShard {
    readonly name: string;
    /** The store's modify index; 0 for a shard that the store does not hold yet. */
    readonly version: number;
    /** Id of the change that wrote it last; empty for version 0. */
    readonly changeId: string;
    readonly items: ReadonlyMap<string, ShardItem>;
}
