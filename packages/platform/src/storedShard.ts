import { ConfigurationShard } from "./configurationShard";

/** A shard as read from the store in order to change it. */
export interface StoredShard extends ConfigurationShard {
    /** The store's modify index, for a compare-and-swap; 0 for a shard that the store does not hold yet. */
    readonly modifyIndex: number;
    /** Lowest version that the shard may get when it is changed. It is higher than any version that this VM knows, also of a history that the store has lost. */
    readonly nextVersion: number;
}
