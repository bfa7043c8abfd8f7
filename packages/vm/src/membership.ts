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
import { HeartbeatSender } from "./heartbeatSender";
import { IndirectProbes } from "./indirectProbes";
import { LivenessGuard } from "./livenessGuard";
import { MembershipTiming } from "./membershipTiming";
import { MemberState } from "./memberState";
import { MemberTable } from "./memberTable";
import { MemberUpdate } from "./memberUpdate";
import { ProbeSchedule } from "./probeSchedule";
import { SeedAddress } from "./seedAddress";
import { ZoneNotice } from "./zoneNotice";

interface MembershipOptions {
    readonly self: VmDescription;
    readonly transport: DatagramTransport;
    readonly codec: HeartbeatCodec;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly timing?: MembershipTiming;
    /** Returns the addresses to join through; called again whenever no other live member of the zone is known. */
    readonly readSeeds: () => readonly SeedAddress[];
    /** Returns the hash of the configuration's shard versions that is sent with each heartbeat. */
    readonly readConfigurationMark?: () => number;
    /** Called with the configuration mark of each heartbeat received. */
    readonly onConfigurationMark?: (sender: VmDescription, mark: number) => void;
    /** Called when a relay of this zone reports a change in which other zones it can reach. */
    readonly onNotice?: (notice: ZoneNotice) => void;
}

interface OutgoingProbe {
    readonly id: string;
    readonly sequence: number;
    acked: boolean;
}

const indirectProbeCount = 3;
const leaveGossipFanOut = 8;
const periodsPerSync = 20;
const periodsPerDeadProbe = 10;
const membersPerPage = 12;

/**
 * SWIM-style failure detection and membership dissemination for one VM. Probes the members of its zone, marks a member as
 * suspect when neither a direct nor an indirect probe is acknowledged, and declares it dead unless it refutes the suspicion
 * in time. Each member sends a constant number of messages per period, regardless of the size of the zone.
 */
export class Membership {
    public readonly table: MemberTable;
    public readonly guard: LivenessGuard;
    /** Notified when another VM reports that the platform's VM list shows this VM as leaving. */
    public readonly leaveRequested = Signal.create<void>();
    private self: VmDescription;
    private currentProbe: OutgoingProbe | undefined;
    private stopped = false;
    private noticeSequence = 0;
    /** Incarnation of this VM at the time each renewal ping was sent, by sequence number. */
    private readonly renewalPings = new Map<number, number>();
    private readonly indirectProbes = IndirectProbes.create();
    private readonly sender: HeartbeatSender;
    private readonly schedule: ProbeSchedule;
    private readonly timing: MembershipTiming;

    private constructor(private readonly options: MembershipOptions) {
        const { clock, codec, random, transport } = options;
        this.self = options.self;
        this.timing = options.timing ?? defaultTiming;
        this.table = MemberTable.create(clock);
        this.guard = LivenessGuard.create(clock, this.timing.maxPauseMs);
        this.schedule = ProbeSchedule.create(random);
        this.table.merge({ vm: this.self, state: MemberState.Alive });
        this.sender = HeartbeatSender.create({
            transport,
            codec,
            clock,
            random,
            table: this.table,
            readSelf: () => this.self,
            readConfigurationMark: () => options.readConfigurationMark?.() ?? 0,
        });
        transport.setListener(data => this.receive(data));
    }

    public static create(options: MembershipOptions): Membership {
        return new Membership(options);
    }

    /** Description of this VM as it is announced to other members. */
    public get description(): VmDescription {
        return this.self;
    }

    /** Joins the cluster, then probes members until cancelled. */
    public *run(): Operation<never> {
        const { clock } = this.options;
        this.guard.recordWakeup();
        this.requestJoin();
        // The random offset keeps members that started together from probing at the same time.
        yield* sleep(clock, this.timing.probePeriodMs * this.options.random.next());
        for (let period = 1;; period++) {
            this.startProbe();
            yield* sleep(clock, this.timing.ackTimeoutMs);
            if (!this.checkForPause()) this.probeIndirectly();
            this.expireSuspicions();
            yield* sleep(clock, this.timing.probePeriodMs - this.timing.ackTimeoutMs);
            if (!this.checkForPause()) this.finishProbe();
            this.expireSuspicions();
            if (period % periodsPerSync === 0) this.requestRandomPage();
            if (period % periodsPerDeadProbe === 0) this.probeDeadMember();
            if (this.sender.pickPeers(1).length === 0) this.requestJoin();
        }
    }

    /** Announces that this VM takes no new work. */
    public announceLeaving(): void {
        if (this.self.leaving) return;
        this.changeSelf({ leaving: true });
        this.sender.gossip(leaveGossipFanOut);
    }

    /** Announces that this VM is stopping, and sends nothing afterwards. */
    public stop(): void {
        this.sender.enqueueUpdate({ vm: this.self, state: MemberState.Dead });
        this.sender.gossip(leaveGossipFanOut);
        this.sender.stop();
        this.stopped = true;
    }

    /** Tells the members of this zone which other zones this VM, as a relay, cannot reach. */
    public announceUnreachableZones(unreachable: readonly string[]): void {
        // Derived from the incarnation so that it increases across restarts; otherwise a notice sent before a restart would
        // take precedence over later ones.
        this.noticeSequence = Math.max(this.noticeSequence, this.self.incarnation * 1_000) + 1;
        this.applyNotice({ relay: this.self.id, sequence: this.noticeSequence, unreachable });
    }

    /** Returns the latest notice about other zones from a relay of this zone. */
    public findNotice(relay: string): ZoneNotice | undefined {
        return this.sender.notices.find(relay);
    }

    /** Applies an update from any source. Disseminates it if it changed the recorded state of another member; returns whether it did. */
    public applyUpdate(update: MemberUpdate): boolean {
        if (update.vm.id === this.self.id) {
            this.handleOwnUpdate(update);
            return false;
        }
        if (!this.table.merge(update)) return false;
        this.sender.enqueueUpdate(update);
        return true;
    }

    private applyNotice(notice: ZoneNotice): void {
        if (!this.sender.notices.add(notice)) return;
        this.sender.scheduleGossip();
        this.options.onNotice?.(notice);
    }

    private checkForPause(): boolean {
        const wasPaused = this.guard.recordWakeup();
        if (wasPaused) this.recoverFromPause();
        return wasPaused;
    }

    /**
     * Timeouts that elapsed while this VM was paused say nothing about the other members, so the current probe is discarded and
     * suspicions restart. Then asks other members whether this VM is still a member.
     */
    private recoverFromPause(): void {
        this.currentProbe = undefined;
        for (const member of this.table.listLive(this.self.zone)) {
            if (member.state === MemberState.Suspect) this.table.resetStateSince(member.vm.id);
        }
        this.requestRenewal();
    }

    private requestRenewal(): void {
        this.guard.beginRenewal();
        this.renewalPings.clear();
        for (const peer of this.sender.pickPeers(indirectProbeCount)) this.renewalPings.set(this.sender.send(HeartbeatKind.Ping, peer), this.self.incarnation);
    }

    private requestJoin(): void {
        const seeds = this.options.readSeeds().filter(seed => seed.host !== this.self.host || seed.heartbeatPort !== this.self.heartbeatPort);
        // Without seeds there is no VM that could confirm the membership.
        if (seeds.length === 0) this.guard.endRenewal();
        for (const seed of seeds) this.sender.sendTo(seed, "", HeartbeatKind.SyncRequest);
    }

    private startProbe(): void {
        const { zone, id: selfId } = this.self;
        const isCandidate = (id: string): boolean => {
            const member = this.table.find(id);
            return id !== selfId && member !== undefined && member.state !== MemberState.Dead && member.vm.zone === zone;
        };
        const id = this.schedule.next(isCandidate, () => this.table.listLive(zone).map(member => member.vm.id));
        const member = id === undefined ? undefined : this.table.find(id);
        this.currentProbe = member === undefined ? undefined : { id: member.vm.id, sequence: this.sender.send(HeartbeatKind.Ping, member.vm), acked: false };
    }

    private probeIndirectly(): void {
        const probe = this.currentProbe;
        const target = probe === undefined ? undefined : this.table.find(probe.id);
        if (probe === undefined || probe.acked || target === undefined) return;
        this.sender.send(HeartbeatKind.Ping, target.vm, { sequence: probe.sequence });
        for (const peer of this.sender.pickPeers(indirectProbeCount, probe.id)) {
            this.sender.send(HeartbeatKind.PingRequest, peer, { subject: probe.id, sequence: probe.sequence });
        }
    }

    private finishProbe(): void {
        const probe = this.currentProbe;
        const member = probe === undefined ? undefined : this.table.find(probe.id);
        if (probe === undefined || probe.acked || member?.state !== MemberState.Alive) return;
        const suspicion = { vm: member.vm, state: MemberState.Suspect };
        this.applyUpdate(suspicion);
        this.sender.send(HeartbeatKind.Gossip, member.vm, { updates: [suspicion] });
    }

    private expireSuspicions(): void {
        const suspectedBefore = this.options.clock.now() - this.timing.suspicionTimeoutMs;
        for (const member of this.table.listLive(this.self.zone)) {
            if (member.state === MemberState.Suspect && member.stateSince <= suspectedBefore) this.applyUpdate({ vm: member.vm, state: MemberState.Dead });
        }
    }

    /** Pings a member that was declared dead, so that the two sides of a healed partition rediscover each other. */
    private probeDeadMember(): void {
        this.table.removeExpired();
        const dead = this.table.listZone(this.self.zone).filter(member => member.state === MemberState.Dead);
        const member = dead[Math.floor(this.options.random.next() * dead.length)];
        if (member !== undefined) this.sender.send(HeartbeatKind.Ping, member.vm);
    }

    private requestRandomPage(): void {
        const [peer] = this.sender.pickPeers(1);
        const live = this.table.listLive(this.self.zone);
        const subject = live[Math.floor(this.options.random.next() * live.length)]?.vm.id;
        if (peer !== undefined) this.sender.send(HeartbeatKind.SyncRequest, peer, { subject });
    }

    private receive(data: Uint8Array): void {
        const message = this.options.codec.decode(data);
        if (this.stopped || message === undefined || message.sender.id === this.self.id) return;
        if (message.receiver !== "" && message.receiver !== this.self.id) return;
        this.applyUpdate({ vm: message.sender, state: MemberState.Alive });
        for (const update of message.updates) this.applyUpdate(update);
        for (const notice of message.notices) this.applyNotice(notice);
        this.options.onConfigurationMark?.(message.sender, message.configurationMark);
        this.handleMessage(message);
    }

    private handleMessage({ kind, sender, sequence, subject, updates }: Heartbeat): void {
        switch (kind) {
            case HeartbeatKind.Ping:
                this.sender.send(HeartbeatKind.Ack, sender, { sequence });
                break;
            case HeartbeatKind.Ack:
                this.handleAck(sender, sequence);
                break;
            case HeartbeatKind.PingRequest:
                this.pingOnBehalfOf(sender, sequence, subject);
                break;
            case HeartbeatKind.SyncRequest:
                this.sender.send(HeartbeatKind.SyncPage, sender, { subject, updates: this.table.listAfter(subject, membersPerPage) });
                break;
            case HeartbeatKind.SyncPage:
                this.handlePage(sender, updates);
                break;
            case HeartbeatKind.Gossip:
                break;
        }
    }

    private handleAck(sender: VmDescription, sequence: number): void {
        if (this.currentProbe?.sequence === sequence) this.currentProbe.acked = true;
        const indirectProbe = this.indirectProbes.take(sequence);
        if (indirectProbe !== undefined) this.sender.send(HeartbeatKind.Ack, indirectProbe.origin, { sequence: indirectProbe.sequence });
        const incarnation = this.renewalPings.get(sequence);
        if (incarnation === undefined) return;
        this.renewalPings.delete(sequence);
        // The incarnation has changed since this ping was sent, which happens when a member considered this VM dead, so
        // the ack does not confirm membership. Ping that member again.
        if (incarnation === this.self.incarnation) this.guard.endRenewal();
        else this.renewalPings.set(this.sender.send(HeartbeatKind.Ping, sender), this.self.incarnation);
    }

    private pingOnBehalfOf(origin: VmDescription, sequence: number, subject: string): void {
        const target = this.table.find(subject);
        if (target === undefined) return;
        const now = this.options.clock.now();
        this.indirectProbes.removeSentBefore(now - this.timing.probePeriodMs);
        this.indirectProbes.add(this.sender.send(HeartbeatKind.Ping, target.vm), { origin, sequence, sentAt: now });
    }

    /** While joining or renewing, requests the page that follows this one. An empty page marks the end of the table. */
    private handlePage(sender: VmDescription, updates: readonly MemberUpdate[]): void {
        if (!this.guard.isRenewing) return;
        const last = updates[updates.length - 1];
        if (last !== undefined) this.sender.send(HeartbeatKind.SyncRequest, sender, { subject: last.vm.id });
        else this.guard.endRenewal();
    }

    /** Refutes an outdated update about this VM by raising its incarnation, and accepts a request to leave. */
    private handleOwnUpdate(update: MemberUpdate): void {
        const { incarnation } = this.self;
        if (update.vm.incarnation < incarnation || (update.vm.incarnation === incarnation && update.state === MemberState.Alive)) return;
        const isLeaveRequest = update.vm.leaving && !this.self.leaving;
        this.changeSelf({ incarnation: update.vm.incarnation, leaving: this.self.leaving || update.vm.leaving });
        if (isLeaveRequest) this.leaveRequested.notifyAll();
        if (update.state === MemberState.Dead) this.requestRenewal();
    }

    private changeSelf(change: Partial<VmDescription>): void {
        const incarnation = Math.max(this.self.incarnation, change.incarnation ?? 0) + 1;
        this.self = { ...this.self, ...change, incarnation };
        const update = { vm: this.self, state: MemberState.Alive };
        this.table.merge(update);
        this.sender.enqueueUpdate(update);
    }
}
