import { Configuration } from "@vanillarouter/base/configuration";
import { ConfigurationSource } from "@vanillarouter/base/configurationSource";
import { Signal } from "@vanillarouter/base/signal";
import { ConfigurationShard } from "@vanillarouter/platform/configurationShard";
import { formatShard } from "@vanillarouter/platform/formatShard";
import { hashName } from "@vanillarouter/platform/hashName";
import { mergeShards } from "@vanillarouter/platform/mergeShards";
import { shardNames } from "@vanillarouter/platform/shardNames";
import { mixHashes } from "./mixHashes";
import { ShardDelta } from "./shardDelta";
import { ShardDigest } from "./shardDigest";
import { ShardDocument } from "./shardDocument";

/**
 * This VM's copy of the configuration. A shard is replaced only by one of a higher version, regardless of source and order
 * of arrival, so a shard never reverts to an earlier version. The configuration takes effect once every shard is known.
 */
export class ConfigurationReplica implements ConfigurationSource {
    public readonly changed = Signal.create<Configuration>();
    private configuration: Configuration | undefined;
    private readonly shards = new Map<string, ConfigurationShard>();
    private currentMark = 0;

    private constructor() {}

    public static create(): ConfigurationReplica {
        return new ConfigurationReplica();
    }

    public get current(): Configuration | undefined {
        return this.configuration;
    }

    public get isComplete(): boolean {
        return this.configuration !== undefined;
    }

    /** Hash of all shard versions. Replicas with different marks have different shards; 0 means an empty replica. */
    public get mark(): number {
        return this.currentMark;
    }

    public find(name: string): ConfigurationShard | undefined {
        return this.shards.get(name);
    }

    /** Stores a shard if it is newer than the known one. Returns the delta from the replaced shard; undefined if nothing was stored. */
    public accept(shard: ConfigurationShard): ShardDelta | undefined {
        const known = this.shards.get(shard.name);
        if (!shardNames.includes(shard.name) || (known !== undefined && shard.version <= known.version)) return undefined;
        this.shards.set(shard.name, shard);
        this.currentMark = computeMark(this.shards.values());
        if (this.shards.size === shardNames.length) {
            this.configuration = mergeShards(this.shards.values());
            this.changed.notifyAll(this.configuration);
        }
        return computeDelta(known, shard);
    }

    /**
     * Returns the shard that results from a delta; does not store it. Returns undefined if the delta does not apply, because
     * this VM already has its version or a later one, or lacks the version on which it is based.
     */
    public computeShard(delta: ShardDelta): ConfigurationShard | undefined {
        const known = this.shards.get(delta.name);
        if (known === undefined || known.version !== delta.fromVersion || delta.version <= known.version) return undefined;
        const items = new Map(known.items);
        for (const [name, item] of Object.entries(delta.set)) items.set(name, item);
        for (const name of delta.removed) items.delete(name);
        return { name: delta.name, version: delta.version, changeId: delta.changeId, items };
    }

    public readDigest(): ShardDigest {
        return Object.fromEntries([...this.shards].map(([name, shard]) => [name, shard.version]));
    }

    /** Returns the names of the shards for which a digest lists a newer version. */
    public listOutdated(digest: ShardDigest): readonly string[] {
        return shardNames.filter(name => {
            const listedVersion = digest[name];
            return listedVersion !== undefined && listedVersion > (this.shards.get(name)?.version ?? -1);
        });
    }

    /** Returns the named shards in the form exchanged between VMs; unknown ones are omitted. */
    public readDocuments(names: readonly string[]): readonly ShardDocument[] {
        return names.flatMap(name => {
            const shard = this.shards.get(name);
            return shard === undefined ? [] : [{ name, version: shard.version, text: shard.version === 0 ? "" : formatShard(shard) }];
        });
    }
}

function computeMark(shards: Iterable<ConfigurationShard>): number {
    let mark = 0;
    for (const shard of shards) mark ^= mixHashes(hashName(shard.name), shard.version + 1);
    return mark >>> 0;
}

function computeDelta(before: ConfigurationShard | undefined, after: ConfigurationShard): ShardDelta {
    const set = [...after.items].filter(([name, item]) => before?.items.get(name)?.changeId !== item.changeId);
    const removed = [...before?.items.keys() ?? []].filter(name => !after.items.has(name));
    return { name: after.name, fromVersion: before?.version ?? -1, version: after.version, changeId: after.changeId, set: Object.fromEntries(set), removed };
}
