import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { Signal } from "@vanillarouter/base/signal";
import { sleep } from "@vanillarouter/base/sleep";
import { VmDescription } from "@vanillarouter/base/vmDescription";
import { DatagramTransport } from "./datagramTransport";
import { defaultTiming } from "./defaultTiming";
import { Heartbeat } from "./heartbeat";
import { HeartbeatCodec } from "./heartbeatCodec";
import { HeartbeatKind } from "./heartbeatKind";
import { LivenessGuard } from "./livenessGuard";
import { Member } from "./member";
import { MembershipTiming } from "./membershipTiming";
import { MemberState } from "./memberState";
import { MemberTable } from "./memberTable";
import { MemberUpdate } from "./memberUpdate";
import { ProbeSchedule } from "./probeSchedule";
import { SeedAddress } from "./seedAddress";
import { UpdateQueue } from "./updateQueue";

interface MembershipOptions {
    readonly self: VmDescription;
    readonly transport: DatagramTransport;
    readonly codec: HeartbeatCodec;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly timing?: MembershipTiming;
    /** Addresses to join through; read again whenever no other member is known. */
    readonly readSeeds: () => readonly SeedAddress[];
    /** Digest of the configuration versions, sent with each heartbeat. */
    readonly readConfigurationMark?: () => number;
    /** Called with the mark of each heartbeat that arrives. */
    readonly onConfigurationMark?: (sender: VmDescription, mark: number) => void;
}

interface Probe {
    readonly id: string;
    readonly sequence: number;
    acked: boolean;
}

/** A ping sent on behalf of another member. */
interface RelayedProbe {
    readonly origin: VmDescription;
    readonly sequence: number;
    readonly sentAt: number;
}

const updatesPerMessage = 6;
const indirectProbes = 3;
const gossipFanOut = 3;
const leaveFanOut = 8;
/** News are sent this often as fast as the interval allows; what is left of their repetitions goes along with probes. */
const urgentSends = 9;
const gossipIntervalMs = 50;
const periodsPerSync = 20;
const periodsPerDeadProbe = 10;
const pageSize = 12;
const maxRelayedProbes = 64;

/**
 * Membership of one VM: probes the members of its zone, suspects one that does not answer directly or through others,
 * declares it dead unless it refutes, and spreads what changed. Each member sends a constant number of messages per
 * period, whatever the size of the zone.
 */
export class Membership {
    public readonly table: MemberTable;
    public readonly guard: LivenessGuard;
    /** Notified when another VM, on the word of the platform's list, says that this one is leaving. */
    public readonly toldToLeave = Signal.create<void>();
    private self: VmDescription;
    private sequence: number;
    private probe: Probe | undefined;
    private stopped = false;
    private gossipPending = false;
    private lastGossipAt = -gossipIntervalMs;
    private readonly renewalSequences = new Map<number, number>();
    private readonly relayed = new Map<number, RelayedProbe>();
    private readonly queue = UpdateQueue.create();
    private readonly schedule: ProbeSchedule;
    private readonly timing: MembershipTiming;

    private constructor(private readonly options: MembershipOptions) {
        this.self = options.self;
        this.timing = options.timing ?? defaultTiming;
        this.table = MemberTable.create(options.clock);
        this.guard = LivenessGuard.create(options.clock, this.timing.gapLimitMs);
        this.schedule = ProbeSchedule.create(options.random);
        this.sequence = Math.floor(options.random.next() * 0x40000000);
        this.table.merge({ vm: this.self, state: MemberState.Alive });
        options.transport.setListener(data => this.receive(data));
    }

    public static create(options: MembershipOptions): Membership {
        return new Membership(options);
    }

    /** This VM as others know it. */
    public get description(): VmDescription {
        return this.self;
    }

    /** Joins, then probes until cancelled. */
    public *run(): Operation<never> {
        const { clock } = this.options;
        this.guard.noteWake();
        this.requestJoin();
        // Members that started together probe at different moments.
        yield* sleep(clock, this.timing.periodMs * this.options.random.next());
        for (let period = 1;; period++) {
            this.startProbe();
            yield* sleep(clock, this.timing.ackTimeoutMs);
            if (!this.noteWake()) this.probeIndirectly();
            this.expireSuspicions();
            yield* sleep(clock, this.timing.periodMs - this.timing.ackTimeoutMs);
            if (!this.noteWake()) this.finishProbe();
            this.expireSuspicions();
            if (period % periodsPerSync === 0) this.requestRandomPage();
            if (period % periodsPerDeadProbe === 0) this.probeDead();
            if (this.pickPeers(1, "").length === 0) this.requestJoin();
        }
    }

    /** Announces that this VM takes no new work. */
    public announceLeaving(): void {
        if (this.self.leaving) return;
        this.changeSelf({ leaving: true });
        this.gossip(leaveFanOut);
    }

    /** Announces that this VM ends now, and sends nothing afterwards. */
    public stop(): void {
        this.queue.push({ vm: this.self, state: MemberState.Dead });
        this.gossip(leaveFanOut);
        this.stopped = true;
    }

    /** Takes an update over that came by another way than a heartbeat, and spreads it if it was news. */
    public learn(update: MemberUpdate): boolean {
        if (update.vm.id === this.self.id) {
            this.answerOwnUpdate(update);
            return false;
        }
        if (!this.table.merge(update)) return false;
        this.queue.push(update);
        this.scheduleGossip();
        return true;
    }

    private noteWake(): boolean {
        const hadGap = this.guard.noteWake();
        if (hadGap) this.renew();
        return hadGap;
    }

    /** After a gap: what was due in it says nothing about others, and this VM asks whether it is still a member. */
    private renew(): void {
        this.probe = undefined;
        for (const member of this.table.listLive(this.self.zone)) {
            if (member.state === MemberState.Suspect) this.table.touch(member.vm.id);
        }
        this.requestRenewal();
    }

    private requestRenewal(): void {
        this.guard.beginRenewal();
        this.renewalSequences.clear();
        for (const peer of this.pickPeers(indirectProbes, "")) {
            this.renewalSequences.set(this.send(HeartbeatKind.Ping, peer), this.self.incarnation);
        }
    }

    private requestJoin(): void {
        const seeds = this.options.readSeeds().filter(seed => seed.host !== this.self.host || seed.heartbeatPort !== this.self.heartbeatPort);
        if (seeds.length === 0) this.guard.endRenewal();
        for (const seed of seeds) this.sendTo(seed, "", HeartbeatKind.SyncRequest, "", []);
    }

    private startProbe(): void {
        const isLive = (id: string): boolean =>
            id !== this.self.id && this.table.find(id)?.state !== MemberState.Dead && this.table.find(id)?.vm.zone === this.self.zone;
        const id = this.schedule.next(isLive, () => this.table.listLive(this.self.zone).map(member => member.vm.id));
        const member = id === undefined ? undefined : this.table.find(id);
        if (member === undefined) {
            this.probe = undefined;
            return;
        }
        this.probe = { id: member.vm.id, sequence: this.send(HeartbeatKind.Ping, member.vm), acked: false };
    }

    private probeIndirectly(): void {
        const probe = this.probe;
        const target = probe === undefined ? undefined : this.table.find(probe.id);
        if (probe === undefined || probe.acked || target === undefined) return;
        this.sendTo(target.vm, target.vm.id, HeartbeatKind.Ping, "", this.takeUpdates(target.vm), probe.sequence);
        for (const peer of this.pickPeers(indirectProbes, probe.id)) {
            this.sendTo(peer, peer.id, HeartbeatKind.PingRequest, probe.id, this.takeUpdates(peer), probe.sequence);
        }
    }

    private finishProbe(): void {
        const probe = this.probe;
        const member = probe === undefined ? undefined : this.table.find(probe.id);
        if (probe === undefined || probe.acked || member?.state !== MemberState.Alive) return;
        const suspicion = { vm: member.vm, state: MemberState.Suspect };
        this.learn(suspicion);
        this.sendTo(member.vm, member.vm.id, HeartbeatKind.Gossip, "", [suspicion]);
    }

    private expireSuspicions(): void {
        const limit = this.options.clock.now() - this.timing.suspicionMs;
        for (const member of this.table.listLive(this.self.zone)) {
            if (member.state === MemberState.Suspect && member.since <= limit) this.learn({ vm: member.vm, state: MemberState.Dead });
        }
    }

    /** Pings a member that was declared dead, so that the halves of a healed partition find each other. */
    private probeDead(): void {
        this.table.removeExpired();
        const dead = this.table.listZone(this.self.zone).filter(member => member.state === MemberState.Dead);
        const member = dead[Math.floor(this.options.random.next() * dead.length)];
        if (member !== undefined) this.send(HeartbeatKind.Ping, member.vm);
    }

    private requestRandomPage(): void {
        const [peer] = this.pickPeers(1, "");
        const live = this.table.listLive(this.self.zone);
        const start = live[Math.floor(this.options.random.next() * live.length)]?.vm.id ?? "";
        if (peer !== undefined) this.sendTo(peer, peer.id, HeartbeatKind.SyncRequest, start, []);
    }

    private receive(data: Uint8Array): void {
        const message = this.options.codec.decode(data);
        if (this.stopped || message === undefined || message.sender.id === this.self.id) return;
        if (message.receiver !== "" && message.receiver !== this.self.id) return;
        this.learn({ vm: message.sender, state: MemberState.Alive });
        for (const update of message.updates) this.learn(update);
        this.options.onConfigurationMark?.(message.sender, message.configurationMark);
        this.answer(message);
    }

    private answer(message: Heartbeat): void {
        const { sender, sequence, subject } = message;
        switch (message.kind) {
            case HeartbeatKind.Ping:
                this.sendTo(sender, sender.id, HeartbeatKind.Ack, "", this.takeUpdates(sender), sequence);
                break;
            case HeartbeatKind.Ack:
                this.acceptAck(sender, sequence);
                break;
            case HeartbeatKind.PingRequest:
                this.relayProbe(sender, sequence, subject);
                break;
            case HeartbeatKind.SyncRequest:
                this.sendTo(sender, sender.id, HeartbeatKind.SyncPage, subject, this.table.listAfter(subject, pageSize));
                break;
            case HeartbeatKind.SyncPage:
                this.acceptPage(message);
                break;
            case HeartbeatKind.Gossip:
                break;
        }
    }

    private acceptAck(sender: VmDescription, sequence: number): void {
        if (this.probe?.sequence === sequence) this.probe.acked = true;
        const relayed = this.relayed.get(sequence);
        if (relayed !== undefined) {
            this.relayed.delete(sequence);
            this.sendTo(relayed.origin, relayed.origin.id, HeartbeatKind.Ack, "", [], relayed.sequence);
        }
        const incarnation = this.renewalSequences.get(sequence);
        if (incarnation === undefined) return;
        this.renewalSequences.delete(sequence);
        if (incarnation === this.self.incarnation) this.guard.endRenewal();
        else this.renewalSequences.set(this.send(HeartbeatKind.Ping, sender), this.self.incarnation);
    }

    private relayProbe(origin: VmDescription, sequence: number, subject: string): void {
        const target = this.table.find(subject);
        if (target === undefined) return;
        const now = this.options.clock.now();
        for (const [key, entry] of this.relayed) {
            if (now - entry.sentAt > this.timing.periodMs || this.relayed.size >= maxRelayedProbes) this.relayed.delete(key);
        }
        this.relayed.set(this.send(HeartbeatKind.Ping, target.vm), { origin, sequence, sentAt: now });
    }

    /** Asks for the page after this one while joining. A page without members is the end of the table. */
    private acceptPage(message: Heartbeat): void {
        if (!this.guard.isRenewing) return;
        const last = message.updates[message.updates.length - 1];
        if (last !== undefined) this.sendTo(message.sender, message.sender.id, HeartbeatKind.SyncRequest, last.vm.id, []);
        else this.guard.endRenewal();
    }

    /** Refutes what others say of this VM, or accepts that it is to leave. */
    private answerOwnUpdate(update: MemberUpdate): void {
        const { incarnation } = this.self;
        if (update.vm.incarnation < incarnation || (update.vm.incarnation === incarnation && update.state === MemberState.Alive)) return;
        const toldToLeave = update.vm.leaving && !this.self.leaving;
        this.changeSelf({ incarnation: update.vm.incarnation, leaving: this.self.leaving || update.vm.leaving });
        if (toldToLeave) this.toldToLeave.notifyAll();
        if (update.state === MemberState.Dead) this.requestRenewal();
    }

    private changeSelf(change: Partial<VmDescription>): void {
        const incarnation = Math.max(this.self.incarnation, change.incarnation ?? 0) + 1;
        this.self = { ...this.self, ...change, incarnation };
        const update = { vm: this.self, state: MemberState.Alive };
        this.table.merge(update);
        this.queue.push(update);
        this.scheduleGossip();
    }

    private scheduleGossip(): void {
        if (this.gossipPending) return;
        this.gossipPending = true;
        const waitMs = Math.max(0, this.lastGossipAt + gossipIntervalMs - this.options.clock.now());
        this.options.clock.startTimer(waitMs, () => this.gossip(gossipFanOut));
    }

    private gossip(fanOut: number): void {
        this.gossipPending = false;
        this.lastGossipAt = this.options.clock.now();
        if (this.stopped) return;
        for (const peer of this.pickPeers(fanOut, "")) {
            const updates = this.takeUpdates(peer);
            if (updates.length > 0) this.sendTo(peer, peer.id, HeartbeatKind.Gossip, "", updates);
        }
        if (this.queue.hasFresh(urgentSends)) this.scheduleGossip();
    }

    /** Picks live members of the zone at random, other than this VM and the excluded one. */
    private pickPeers(count: number, excluded: string): readonly VmDescription[] {
        const live = this.table.listLive(this.self.zone);
        const peers = new Map<string, VmDescription>();
        const usable = live.length - 1 - (excluded === "" ? 0 : 1);
        const start = Math.floor(this.options.random.next() * live.length);
        for (let step = 0; step < live.length && peers.size < Math.min(count, usable); step++) {
            const index = usable > 2 * count ? Math.floor(this.options.random.next() * live.length) : (start + step) % live.length;
            const { vm } = live[index]!;
            if (vm.id !== this.self.id && vm.id !== excluded) peers.set(vm.id, vm);
        }
        return [...peers.values()];
    }

    /** Updates for a message. One that doubts the receiver goes first, so that it can refute. */
    private takeUpdates(receiver: VmDescription): readonly MemberUpdate[] {
        const doubt = this.findDoubt(receiver);
        const updates = this.queue.take(updatesPerMessage, this.table.listLive(this.self.zone).length);
        return doubt === undefined ? updates : [doubt, ...updates];
    }

    private findDoubt(receiver: VmDescription): MemberUpdate | undefined {
        const known: Member | undefined = this.table.find(receiver.id);
        return known === undefined || known.state === MemberState.Alive ? undefined : { vm: known.vm, state: known.state };
    }

    private send(kind: HeartbeatKind, receiver: VmDescription): number {
        const sequence = ++this.sequence;
        this.sendTo(receiver, receiver.id, kind, "", this.takeUpdates(receiver), sequence);
        return sequence;
    }

    private sendTo(
        address: SeedAddress,
        receiver: string,
        kind: HeartbeatKind,
        subject: string,
        updates: readonly MemberUpdate[],
        sequence = ++this.sequence,
    ): void {
        if (this.stopped) return;
        const configurationMark = this.options.readConfigurationMark?.() ?? 0;
        const message = { kind, sender: this.self, receiver, sequence, subject, configurationMark, updates };
        this.options.transport.send(address.host, address.heartbeatPort, this.options.codec.encode(message));
    }
}
