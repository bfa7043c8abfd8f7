import { ConfigurationShard } from "./configurationShard";

/** A shard as it is to be changed: its latest state that is known, and where the store holds the shard. */
export interface StoredShard extends ConfigurationShard {
    /** The store's modify index, for a compare-and-swap; 0 for a shard that the store does not hold yet. */
    readonly modifyIndex: number;
}
