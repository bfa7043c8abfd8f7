/** Versions of the configuration shards that a VM has, by shard name. Version 0 means that the shard is known to be absent from the store. */
export type ShardDigest = Readonly<Record<string, number>>;
