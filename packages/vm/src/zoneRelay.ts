import { all } from "@vanillarouter/base/all";
import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { sleep } from "@vanillarouter/base/sleep";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import { VmDescription } from "@vanillarouter/base/vmDescription";
import { Member } from "./member";
import { MemberExchange } from "./memberExchange";
import { Membership } from "./membership";
import { MemberState } from "./memberState";
import { MemberUpdate } from "./memberUpdate";
import { PeerCalls } from "./peerCalls";
import { pickPeers } from "./pickPeers";
import { RoleAssignment } from "./roleAssignment";

interface ZoneRelayOptions {
    readonly zone: string;
    readonly membership: Membership;
    readonly roles: RoleAssignment;
    readonly peers: PeerCalls;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly readConfigurationMark: () => number;
    readonly onConfigurationMark: (sender: VmDescription, mark: number) => void;
}

const exchangeIntervalMs = 1_000;
const updateDelayMs = 50;
const maxPendingUpdates = 256;
const roundsBeforeUnreachable = 3;
const peersPerRound = 3;
/** Largest number of zones whose members one response carries; bounds the size of the response. */
const maxZonesPerResponse = 2;

/**
 * Exchanges membership with VMs of other zones while this VM is a relay. Changes in this zone are sent to one VM of each
 * other zone after a short delay. In addition, digests are compared with the other zones in rotation, which repairs updates lost
 * during a partition.
 */
export class ZoneRelay {
    private readonly tasks: TaskGroup;
    private readonly pendingUpdates = new Map<string, MemberUpdate>();
    private readonly unreachable = new Set<string>();
    private readonly exchangingZones = new Set<string>();
    private sendScheduled = false;
    private nextZoneIndex = 0;

    private constructor(private readonly options: ZoneRelayOptions) {
        this.tasks = TaskGroup.create(() => {});
        options.membership.table.onChange((member, before) => this.handleMemberChange(member, before));
    }

    public static create(options: ZoneRelayOptions): ZoneRelay {
        return new ZoneRelay(options);
    }

    /** Compares membership with other zones until cancelled, as long as this VM is a relay. */
    public *run(): Operation<never> {
        for (;;) {
            yield* sleep(this.options.clock, exchangeIntervalMs * (0.8 + 0.4 * this.options.random.next()));
            if (!this.options.roles.isRelay()) continue;
            const zones = this.listOtherZones();
            const zone = zones[this.nextZoneIndex++ % Math.max(1, zones.length)];
            if (zone !== undefined) this.startExchange(zone, []);
            for (const unreachableZone of this.unreachable) this.startExchange(unreachableZone, []);
            this.announceUnreachable();
        }
    }

    /** Contacts zones that another relay reports as unreachable, so that the relays reach agreement quickly. */
    public checkZones(zones: readonly string[]): void {
        if (!this.options.roles.isRelay()) return;
        for (const zone of zones) {
            if (zone !== this.options.zone && !this.unreachable.has(zone)) this.startExchange(zone, []);
        }
    }

    /** Handles an exchange from another relay: applies its updates and returns the members of zones whose digests differ. */
    public handleExchange(exchange: MemberExchange): MemberExchange {
        this.markReachable(exchange.zone);
        this.applyUpdates(exchange.updates);
        const { table } = this.options.membership;
        const differingZones = table.zoneNames.filter(zone => table.readDigest(zone) !== (exchange.digests[zone] ?? 0));
        const ownZoneFirst = differingZones.sort((first, second) => Number(second === this.options.zone) - Number(first === this.options.zone));
        const updates = ownZoneFirst.slice(0, maxZonesPerResponse).flatMap(zone => table.listZone(zone).map(toUpdate));
        return this.createExchange(updates);
    }

    /** Cancels exchanges in progress. */
    public close(): Operation<void> {
        return this.tasks.cancelAll();
    }

    private handleMemberChange(member: Member, before: Member | undefined): void {
        const isUnchanged = before !== undefined && before.vm.incarnation === member.vm.incarnation && before.state === member.state;
        if (member.vm.zone !== this.options.zone || member.state === MemberState.Suspect || isUnchanged) return;
        if (this.pendingUpdates.size < maxPendingUpdates) this.pendingUpdates.set(member.vm.id, toUpdate(member));
        if (this.sendScheduled) return;
        this.sendScheduled = true;
        this.options.clock.startTimer(updateDelayMs, () => this.sendPendingUpdates());
    }

    private sendPendingUpdates(): void {
        this.sendScheduled = false;
        const updates = [...this.pendingUpdates.values()];
        this.pendingUpdates.clear();
        if (!this.options.roles.isRelay()) return;
        for (const zone of this.listOtherZones()) this.startExchange(zone, updates);
    }

    private startExchange(zone: string, updates: readonly MemberUpdate[]): void {
        if (!this.exchangingZones.has(zone) || updates.length > 0) this.tasks.start(this.exchange(zone, updates));
    }

    /** Exchanges with one VM of the zone, then with several at a time if it does not respond; marks the zone unreachable if none does. */
    private *exchange(zone: string, updates: readonly MemberUpdate[]): Operation<void> {
        this.exchangingZones.add(zone);
        try {
            for (let round = 0; round < roundsBeforeUnreachable; round++) {
                const peers = this.pickPeers(zone, round === 0 ? 1 : peersPerRound);
                const succeeded = yield* all(peers.map(peer => this.exchangeWith(peer, updates)));
                if (succeeded.includes(true)) return;
            }
            this.unreachable.add(zone);
            this.announceUnreachable();
        }
        finally {
            this.exchangingZones.delete(zone);
        }
    }

    /** Picks either relays or arbitrary live VMs of the zone, at random; arbitrary VMs if there are fewer than `count` relays. */
    private pickPeers(zone: string, count: number): readonly VmDescription[] {
        const { membership, random, roles } = this.options;
        const relays = pickPeers(roles.listRelays(zone), random, count, []);
        return relays.length >= count && random.next() < 0.5 ? relays : pickPeers([...membership.table.listLive(zone)], random, count, []);
    }

    private *exchangeWith(peer: VmDescription, updates: readonly MemberUpdate[]): Operation<boolean> {
        const response = yield* this.options.peers.exchangeMembers(peer, this.createExchange(updates));
        if (response.err) return false;
        this.markReachable(response.val.zone);
        this.applyUpdates(response.val.updates);
        this.options.onConfigurationMark(peer, response.val.configurationMark);
        return true;
    }

    private markReachable(zone: string): void {
        if (this.unreachable.delete(zone)) this.announceUnreachable();
    }

    /** Announces the zones that this relay cannot reach to its own zone if the set has changed since the last notice. */
    private announceUnreachable(): void {
        const { membership, roles } = this.options;
        const unreachable = [...this.unreachable].filter(zone => membership.table.listLive(zone).length > 0).sort();
        const known = membership.findNotice(membership.description.id)?.unreachable ?? [];
        if (roles.isRelay() && unreachable.join() !== known.join()) membership.announceUnreachableZones(unreachable);
    }

    private createExchange(updates: readonly MemberUpdate[]): MemberExchange {
        const { table } = this.options.membership;
        const digests = Object.fromEntries(table.zoneNames.map(zone => [zone, table.readDigest(zone)]));
        return { zone: this.options.zone, digests, updates, configurationMark: this.options.readConfigurationMark() };
    }

    private applyUpdates(updates: readonly MemberUpdate[]): void {
        for (const update of updates) this.options.membership.applyUpdate(update);
    }

    private listOtherZones(): readonly string[] {
        const { table } = this.options.membership;
        return table.zoneNames.filter(zone => zone !== this.options.zone && table.listLive(zone).length > 0);
    }
}

function toUpdate(member: Member): MemberUpdate {
    return { vm: member.vm, state: member.state };
}
