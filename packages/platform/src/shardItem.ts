/** One entry of a shard and the change that wrote it last. */
export interface ShardItem {
    readonly changeId: string;
    readonly value: unknown;
}
