import { ShardItem } from "@vanillarouter/platform/shardItem";

/** The difference between two versions of a shard. It can be applied only to a shard at exactly `fromVersion`. */
export interface ShardDelta {
    readonly name: string;
    /** Version of the shard to which the delta applies; -1 if the VM did not have the shard, in which case the delta is not sent. */
    readonly fromVersion: number;
    readonly version: number;
    readonly changeId: string;
    /** Added and changed items, by name. */
    readonly set: Readonly<Record<string, ShardItem>>;
    /** Names of the removed items. */
    readonly removed: readonly string[];
}
