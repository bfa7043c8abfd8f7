import { Clock } from "@vanillarouter/base/clock";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { VmDescription } from "@vanillarouter/base/vmDescription";
import { ConfigurationShard } from "@vanillarouter/platform/configurationShard";
import { KeyValueStore } from "@vanillarouter/platform/keyValueStore";
import { ConfigurationReplica } from "./configurationReplica";
import { ConfigurationSync } from "./configurationSync";
import { PeerCalls } from "./peerCalls";
import { StoreRepair } from "./storeRepair";
import { StoreWatcher } from "./storeWatcher";

interface NodeConfigurationOptions {
    readonly vmId: string;
    readonly store: KeyValueStore;
    readonly peers: PeerCalls;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Milliseconds since the Unix epoch, for audit records. */
    readonly readWallTime: () => number;
    /** Returns whether this VM is currently a relay, which watches the store. */
    readonly isRelay: () => boolean;
    /** Returns the VMs to which changes are pushed. */
    readonly listNeighbours: () => readonly VmDescription[];
    readonly findVm: (id: string) => VmDescription | undefined;
    /** Called with events that should be logged. */
    readonly report: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

/** The configuration of a VM: its copy, and the parts that keep the copy, those of the other VMs and the store up to date. */
export class NodeConfiguration {
    public readonly replica = ConfigurationReplica.create();
    public readonly sync: ConfigurationSync;
    private readonly watcher: StoreWatcher;
    private readonly repair: StoreRepair;

    private constructor(private readonly options: NodeConfigurationOptions) {
        const { vmId, store, peers, clock, random, readWallTime, isRelay, listNeighbours, findVm, report } = options;
        const { replica } = this;
        this.sync = ConfigurationSync.create({
            replica,
            peers,
            clock,
            listNeighbours,
            findVm,
            onRejected: (shard, version, source, cause) => report("shardRejected", { shard, version, source, cause }),
            onStoreOutdated: (stored, known) => this.handleOutdatedStore(stored, known),
        });
        this.repair = StoreRepair.create({
            vmId,
            store,
            clock,
            random,
            readWallTime,
            findKnownShard: name => replica.find(name),
            onRepaired: ({ name, version }, change) => report("storeRepaired", { shard: name, version, change }),
            onConflict: (stored, known) => this.reportDifference("storeConflict", stored, known),
            onFailure: (shard, cause) => report("storeRepairFailed", { shard, ...formatCause(cause) }),
        });
        this.watcher = StoreWatcher.create({
            store,
            clock,
            random,
            isRelay,
            accept: shard => this.sync.acceptStored(shard),
            onFailure: (shard, failure) => report("storeWatchFailed", { shard, ...formatCause(failure) }),
        });
    }

    public static create(options: NodeConfigurationOptions): NodeConfiguration {
        return new NodeConfiguration(options);
    }

    /** Follows the store while this VM is a relay, until cancelled; then also ends transfers and repairs in progress. */
    public *run(): Operation<never> {
        try {
            return yield* this.watcher.run();
        }
        finally {
            yield* this.sync.close();
            yield* this.repair.close();
        }
    }

    private handleOutdatedStore(stored: ConfigurationShard, known: ConfigurationShard): void {
        this.reportDifference("storeOutdated", stored, known);
        this.repair.schedule(stored.name);
    }

    private reportDifference(event: string, { name, version, changeId }: ConfigurationShard, known: ConfigurationShard): void {
        this.options.report(event, { shard: name, version, change: changeId, knownVersion: known.version, knownChange: known.changeId });
    }
}

/** Returns the log fields that state why something failed. */
function formatCause(cause: Failure | string): Readonly<Record<string, unknown>> {
    return typeof cause === "string" ? { cause } : { code: cause.code, cause: cause.message };
}
