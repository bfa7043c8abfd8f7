import { ConfigurationShard } from "./configurationShard";

/** Writes a shard as the text that the store holds. */
export function formatShard(shard: ConfigurationShard): string {
    return JSON.stringify({ changeId: shard.changeId, items: Object.fromEntries(shard.items) });
}
