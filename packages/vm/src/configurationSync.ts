import { Clock } from "@vanillarouter/base/clock";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import { VmDescription } from "@vanillarouter/base/vmDescription";
import { checkItem } from "@vanillarouter/platform/checkItem";
import { ConfigurationShard } from "@vanillarouter/platform/configurationShard";
import { getShardSection } from "@vanillarouter/platform/getShardSection";
import { ConfigurationReplica } from "./configurationReplica";
import { parseShardDocument } from "./parseShardDocument";
import { PeerCalls } from "./peerCalls";
import { ShardDelta } from "./shardDelta";

interface ConfigurationSyncOptions {
    readonly replica: ConfigurationReplica;
    readonly peers: PeerCalls;
    readonly clock: Clock;
    /** Returns the VMs to which changes are pushed. */
    readonly listNeighbours: () => readonly VmDescription[];
    readonly findVm: (id: string) => VmDescription | undefined;
    /**
     * Called when a shard or delta from the VM `source` is invalid. An unexpected error in a transfer is reported with an empty
     * shard name, version 0 and the source `task`.
     */
    readonly onRejected: (shard: string, version: number, source: string, cause: Failure | string) => void;
    /** Called when the store holds an earlier state of a shard than `known`, as it does when it came back from a backup. */
    readonly onStoreOutdated: (shard: ConfigurationShard, known: ConfigurationShard) => void;
}

/** Time within which a push normally arrives; a pull is started only for a difference that lasts longer. */
const pushDelayAllowanceMs = 500;
/** Minimum interval between pulls once the configuration is complete. */
const minPullIntervalMs = 1_000;
/** Minimum interval between pulls while the configuration is incomplete. */
const minInitialPullIntervalMs = 100;
/** Number of transfers in progress at which further pushes are skipped; their receivers pull the changes later. */
const maxTransfers = 16;
const maxMarks = 64;

/**
 * Synchronizes the configuration between VMs. Changes are pushed as deltas to fixed neighbours. A VM that receives a
 * heartbeat with a different configuration mark pulls the newer shards, which repairs lost pushes and initializes VMs that
 * have just started.
 */
export class ConfigurationSync {
    private readonly tasks: TaskGroup;
    /** Marks that differ from that of this VM, with the time each was first seen; cleared whenever the local configuration changes. */
    private readonly differingSince = new Map<number, number>();
    /** Marks of VMs from which a pull found no newer shard; cleared whenever the local configuration changes. */
    private readonly olderMarks = new Set<number>();
    private lastPullAt: number | undefined;
    private pulling = false;

    private constructor(private readonly options: ConfigurationSyncOptions) {
        this.tasks = TaskGroup.create(err => options.onRejected("", 0, "task", String(err)));
    }

    public static create(options: ConfigurationSyncOptions): ConfigurationSync {
        return new ConfigurationSync(options);
    }

    /**
     * Accepts a shard if it is newer than the known one. Pushes its difference from the known one to the neighbours; a shard that was
     * not known is not pushed. Returns whether the shard was accepted.
     */
    public accept(shard: ConfigurationShard): boolean {
        const delta = this.options.replica.accept(shard);
        if (delta === undefined) return false;
        this.differingSince.clear();
        this.olderMarks.clear();
        if (delta.fromVersion >= 0) this.push(delta);
        return true;
    }

    /** Accepts a shard that the store holds if it is newer than the known one, and reports an older one. */
    public acceptStored(shard: ConfigurationShard): void {
        const known = this.options.replica.find(shard.name);
        if (!this.accept(shard) && known !== undefined && known.version > shard.version) this.options.onStoreOutdated(shard, known);
    }

    /**
     * Applies deltas pushed by another VM. Invalid ones are reported to `onRejected`. A newer delta whose base version
     * this VM does not have starts a pull from the sender.
     */
    public handlePush(deltas: readonly ShardDelta[], senderId: string): void {
        let needsPull = false;
        for (const delta of deltas) {
            const known = this.options.replica.find(delta.name);
            if (known !== undefined && known.version >= delta.version) continue;
            const shard = this.options.replica.computeShard(delta);
            if (shard === undefined) needsPull = true;
            else if (this.checkDelta(delta, senderId)) this.accept(shard);
        }
        const sender = this.options.findVm(senderId);
        if (needsPull && sender !== undefined) this.startPull(sender);
    }

    /** Compares the configuration mark of another VM with the local one, and starts a pull if it has differed for long enough. */
    public handleMark(sender: VmDescription, mark: number): void {
        const { clock, replica } = this.options;
        if (mark === replica.mark || mark === 0 || this.olderMarks.has(mark)) return;
        const now = clock.now();
        const firstSeenAt = this.differingSince.get(mark) ?? now;
        if (this.differingSince.size >= maxMarks) this.differingSince.clear();
        this.differingSince.set(mark, firstSeenAt);
        if (replica.isComplete && now - firstSeenAt < pushDelayAllowanceMs) return;
        const intervalMs = replica.isComplete ? minPullIntervalMs : minInitialPullIntervalMs;
        if (this.lastPullAt === undefined || now - this.lastPullAt >= intervalMs) this.startPull(sender, mark);
    }

    /** Cancels transfers in progress. */
    public close(): Operation<void> {
        return this.tasks.cancelAll();
    }

    private checkDelta(delta: ShardDelta, senderId: string): boolean {
        const section = getShardSection(delta.name);
        const faults = Object.entries(delta.set).flatMap(([name, item]) => checkItem(section, name, item.value));
        if (faults.length > 0) this.options.onRejected(delta.name, delta.version, senderId, faults.join("; "));
        return faults.length === 0;
    }

    private push(delta: ShardDelta): void {
        if (this.tasks.size >= maxTransfers) return;
        for (const vm of this.options.listNeighbours()) this.tasks.start(this.options.peers.pushShards(vm, [delta]));
    }

    private startPull(source: VmDescription, mark?: number): void {
        if (this.pulling) return;
        this.pulling = true;
        this.lastPullAt = this.options.clock.now();
        this.tasks.start(this.pull(source, mark));
    }

    private *pull(source: VmDescription, mark: number | undefined): Operation<void> {
        const { peers, replica } = this.options;
        try {
            const digest = yield* peers.readDigest(source);
            if (digest.err) return;
            const names = replica.listOutdated(digest.val);
            if (names.length === 0) {
                if (mark !== undefined && this.olderMarks.size < maxMarks) this.olderMarks.add(mark);
                return;
            }
            const documents = yield* peers.pullShards(source, names);
            if (documents.err) return;
            for (const document of documents.val) {
                const shard = parseShardDocument(document);
                if (shard.ok) this.accept(shard.val);
                else this.options.onRejected(document.name, document.version, source.id, shard.val);
            }
        }
        finally {
            this.pulling = false;
        }
    }
}
