import { CallerAccount } from "@vanillarouter/base/callerAccount";
import { createFailure } from "@vanillarouter/base/createFailure";
import { DatabaseGroup } from "@vanillarouter/base/databaseGroup";
import { Failure } from "@vanillarouter/base/failure";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { ConfigurationSection } from "./configurationSection";
import { ConfigurationShard } from "./configurationShard";
import { Diagnostics } from "./diagnostics";
import { getShardSection } from "./getShardSection";

/**
 * Validates constraints across shards, as far as the shards are given: every account refers to an existing class, and no
 * two groups have an upstream with the same id.
 */
export function checkReferences(shards: ReadonlyMap<string, ConfigurationShard>): Failure | undefined {
    return checkAccountClasses(shards.get("classes"), shards.get("accounts")) ?? checkUpstreamIds(shards.values());
}

function checkAccountClasses(classes: ConfigurationShard | undefined, accounts: ConfigurationShard | undefined): Failure | undefined {
    if (classes === undefined || accounts === undefined) return undefined;
    for (const [user, item] of accounts.items) {
        const { defaultClass } = item.value as CallerAccount;
        if (!classes.items.has(defaultClass)) return createFailure(Diagnostics.unknownAccountClass, RunOutcome.DidNotRun, user, defaultClass);
    }
    return undefined;
}

function checkUpstreamIds(shards: Iterable<ConfigurationShard>): Failure | undefined {
    const groups = new Map<string, string>();
    for (const shard of shards) {
        if (getShardSection(shard.name) !== ConfigurationSection.Groups) continue;
        for (const [group, item] of shard.items) {
            for (const { id } of (item.value as DatabaseGroup).upstreams) {
                const other = groups.get(id);
                if (other !== undefined) return createFailure(Diagnostics.duplicateUpstream, RunOutcome.DidNotRun, id, other, group);
                groups.set(id, group);
            }
        }
    }
    return undefined;
}
