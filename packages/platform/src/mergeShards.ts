import { CallerAccount } from "@vanillarouter/base/callerAccount";
import { Configuration } from "@vanillarouter/base/configuration";
import { DatabaseGroup } from "@vanillarouter/base/databaseGroup";
import { WorkClass } from "@vanillarouter/base/workClass";
import { ConfigurationSection } from "./configurationSection";
import { ConfigurationShard } from "./configurationShard";
import { getShardSection } from "./getShardSection";

/** Merges validated shards into one configuration. Its version is the sum of their versions, so a write of any shard increases it. */
export function mergeShards(shards: Iterable<ConfigurationShard>): Configuration {
    const classes = new Map<string, WorkClass>();
    const accounts = new Map<string, CallerAccount>();
    const groups = new Map<string, DatabaseGroup>();
    const valuesBySection: Readonly<Record<ConfigurationSection, Map<string, unknown>>> = { classes, accounts, groups };
    let version = 0;
    for (const shard of shards) {
        version += shard.version;
        const values = valuesBySection[getShardSection(shard.name)];
        for (const [name, item] of shard.items) values.set(name, item.value);
    }
    return { version, classes, accounts, groups };
}
