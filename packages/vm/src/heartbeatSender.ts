import { Clock } from "@vanillarouter/base/clock";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { VmDescription } from "@vanillarouter/base/vmDescription";
import { DatagramTransport } from "./datagramTransport";
import { HeartbeatCodec } from "./heartbeatCodec";
import { HeartbeatKind } from "./heartbeatKind";
import { MemberState } from "./memberState";
import { MemberTable } from "./memberTable";
import { MemberUpdate } from "./memberUpdate";
import { pickPeers } from "./pickPeers";
import { SeedAddress } from "./seedAddress";
import { UpdateQueue } from "./updateQueue";
import { ZoneNoticeQueue } from "./zoneNoticeQueue";

interface HeartbeatSenderOptions {
    readonly transport: DatagramTransport;
    readonly codec: HeartbeatCodec;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly table: MemberTable;
    readonly readSelf: () => VmDescription;
    readonly readConfigurationMark: () => number;
}

/** Optional fields of a message. The defaults are an empty subject, a new sequence number and, for `send`, queued updates. */
interface OutgoingMessage {
    readonly subject?: string;
    readonly updates?: readonly MemberUpdate[];
    readonly sequence?: number;
}

const updatesPerMessage = 6;
const gossipFanOut = 3;
/** Each update and notice is sent this many times by gossip at the shortest interval; the remaining repetitions are piggybacked on probes. */
const gossipSendsPerItem = 9;
const gossipIntervalMs = 50;

/** Sends heartbeats with piggybacked updates and notices, and disseminates new ones by gossip with bounded rate and fan-out. */
export class HeartbeatSender {
    public readonly notices = ZoneNoticeQueue.create();
    private readonly updateQueue = UpdateQueue.create();
    private sequence: number;
    private gossipPending = false;
    private lastGossipAt = -gossipIntervalMs;
    private stopped = false;

    private constructor(private readonly options: HeartbeatSenderOptions) {
        this.sequence = Math.floor(options.random.next() * 0x40000000);
    }

    public static create(options: HeartbeatSenderOptions): HeartbeatSender {
        return new HeartbeatSender(options);
    }

    /** Sends a message with piggybacked updates and notices to a member; returns its sequence number. */
    public send(kind: HeartbeatKind, receiver: VmDescription, message: OutgoingMessage = {}): number {
        return this.sendTo(receiver, receiver.id, kind, { ...message, updates: message.updates ?? this.collectUpdates(receiver) });
    }

    /** Sends a message to an address; an empty receiver addresses any VM at that address. Returns its sequence number. */
    public sendTo(address: SeedAddress, receiver: string, kind: HeartbeatKind, message: OutgoingMessage = {}): number {
        const sequence = message.sequence ?? ++this.sequence;
        if (this.stopped) return sequence;
        const packet = this.options.codec.encode({
            kind,
            sender: this.options.readSelf(),
            receiver,
            sequence,
            subject: message.subject ?? "",
            configurationMark: this.options.readConfigurationMark(),
            updates: message.updates ?? [],
            notices: kind === HeartbeatKind.SyncPage ? [] : this.notices.take(),
        });
        this.options.transport.send(address.host, address.heartbeatPort, packet);
        return sequence;
    }

    /** Queues an update for dissemination and schedules gossip. */
    public enqueueUpdate(update: MemberUpdate): void {
        this.updateQueue.push(update);
        this.scheduleGossip();
    }

    /** Schedules sending of queued updates and notices to a few members, at most once per interval. */
    public scheduleGossip(): void {
        if (this.gossipPending) return;
        this.gossipPending = true;
        const waitMs = Math.max(0, this.lastGossipAt + gossipIntervalMs - this.options.clock.now());
        this.options.clock.startTimer(waitMs, () => this.gossip(gossipFanOut));
    }

    /** Sends queued updates and notices to up to `fanOut` members immediately. */
    public gossip(fanOut: number): void {
        this.gossipPending = false;
        this.lastGossipAt = this.options.clock.now();
        if (this.stopped) return;
        for (const peer of this.pickPeers(fanOut)) this.send(HeartbeatKind.Gossip, peer);
        if (this.updateQueue.hasUpdateSentFewerThan(gossipSendsPerItem) || this.notices.hasNoticeSentFewerThan(gossipSendsPerItem)) this.scheduleGossip();
    }

    /** Picks random live members of the zone other than this VM and the excluded one. */
    public pickPeers(count: number, excluded = ""): readonly VmDescription[] {
        const self = this.options.readSelf();
        return pickPeers(this.options.table.listLive(self.zone), this.options.random, count, [self.id, excluded]);
    }

    /** Stops all sending. */
    public stop(): void {
        this.stopped = true;
    }

    /** Returns the updates for a message. If the receiver is suspect or dead, that update comes first so that the receiver can refute it. */
    private collectUpdates(receiver: VmDescription): readonly MemberUpdate[] {
        const { table, readSelf } = this.options;
        const known = table.find(receiver.id);
        const updates = this.updateQueue.take(updatesPerMessage, table.listLive(readSelf().zone).length);
        return known === undefined || known.state === MemberState.Alive ? updates : [{ vm: known.vm, state: known.state }, ...updates];
    }
}
