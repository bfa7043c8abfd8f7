/** A configuration item as a shard holds it, with the id of the change that last wrote it. */
export interface ShardItem {
    readonly changeId: string;
    readonly value: unknown;
}
