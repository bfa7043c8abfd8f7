/** Must equal the number in `getShardName`. */
const groupShardCount = 16;

/** Names of all shards of the configuration. The set is fixed: the configuration of a VM is complete once it has all of them. */
export const shardNames: readonly string[] = [
    "classes",
    "accounts",
    ...Array.from({ length: groupShardCount }, (_, index) => `groups-${String(index).padStart(2, "0")}`),
];
