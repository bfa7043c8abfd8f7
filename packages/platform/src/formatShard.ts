import { ConfigurationShard } from "./configurationShard";

/** Serializes a shard to the JSON text that is stored. */
export function formatShard(shard: ConfigurationShard): string {
    return JSON.stringify({ changeId: shard.changeId, version: shard.version, items: Object.fromEntries(shard.items) });
}
