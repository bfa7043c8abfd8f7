import { Clock } from "@vanillarouter/base/clock";
import { ConfigurationSource } from "@vanillarouter/base/configurationSource";
import { createFailure } from "@vanillarouter/base/createFailure";
import { DatabaseGroup } from "@vanillarouter/base/databaseGroup";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { race } from "@vanillarouter/base/race";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Signal } from "@vanillarouter/base/signal";
import { sleep } from "@vanillarouter/base/sleep";
import { KeyValueStore } from "@vanillarouter/platform/keyValueStore";
import { VmList } from "@vanillarouter/platform/vmList";
import { Err, Ok, Result } from "ts-results";
import { ConfigurationReplica } from "./configurationReplica";
import { DatagramTransport } from "./datagramTransport";
import { Diagnostics } from "./diagnostics";
import { findNeighbours } from "./findNeighbours";
import { GroupStateSync } from "./groupStateSync";
import { GuardedOwnerLink } from "./guardedOwnerLink";
import { HeartbeatCodec } from "./heartbeatCodec";
import { Member } from "./member";
import { Membership } from "./membership";
import { MemberState } from "./memberState";
import { NodeConfiguration } from "./nodeConfiguration";
import { NodeRoles } from "./nodeRoles";
import { NodeSettings } from "./nodeSettings";
import { OwnerRouter } from "./ownerRouter";
import { PeerCalls } from "./peerCalls";
import { PeerServices } from "./peerServices";
import { RoleAssignment } from "./roleAssignment";
import { VmListWatcher } from "./vmListWatcher";
import { ZoneNotice } from "./zoneNotice";
import { ZoneRelay } from "./zoneRelay";

interface VmNodeOptions {
    /** Settings with the actual bound ports. */
    readonly settings: NodeSettings;
    readonly transport: DatagramTransport;
    readonly peers: PeerCalls;
    readonly store: KeyValueStore;
    readonly list: VmList;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Milliseconds since the Unix epoch, for audit records. */
    readonly readWallTime: () => number;
    /** Creates the roles of this VM. Receives the node so that the roles can use its directories. */
    readonly createRoles: (node: VmNode) => NodeRoles;
    /** Called with events that should be logged. */
    readonly onEvent?: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

/** Time for the announcement that a VM is leaving to reach its zone and the relays of other zones. */
const leavePropagationMs = 500;

/**
 * One VM of the cluster: its membership, configuration, and the assignment of upstream owners and group coordinators. Its
 * transports are injected through interfaces; `startVmNode` creates a node on real sockets.
 */
export class VmNode {
    public readonly membership: Membership;
    public readonly owners: OwnerRouter;
    public readonly roles: RoleAssignment;
    private readonly nodeConfiguration: NodeConfiguration;
    private readonly zoneRelay: ZoneRelay;
    private readonly groupStateSync: GroupStateSync;
    private readonly vmListWatcher: VmListWatcher;
    private readonly localOwner: GuardedOwnerLink;

    private constructor(private readonly options: VmNodeOptions) {
        const { settings, clock, random, peers } = options;
        this.membership = this.createMembership();
        const { table } = this.membership;
        const isRelay = (): boolean => this.roles.isRelay();
        this.roles = RoleAssignment.create(table, settings.id, zone => this.isReachable(zone));
        this.nodeConfiguration = NodeConfiguration.create({
            vmId: settings.id,
            store: options.store,
            peers,
            clock,
            random,
            readWallTime: options.readWallTime,
            isRelay,
            listNeighbours: () => this.listNeighbours(),
            findVm: id => table.find(id)?.vm,
            report: (event, fields) => this.report(event, fields),
        });
        const { replica } = this;
        this.owners = OwnerRouter.create({ selfId: settings.id, replica, roles: this.roles, table, peers, readLocalOwner: () => this.localOwner });
        this.zoneRelay = this.createZoneRelay();
        this.vmListWatcher = VmListWatcher.create({ list: options.list, clock, random, membership: this.membership, isRelay });
        table.onChange((member, before) => this.reportMemberChange(member, before));
        const nodeRoles = options.createRoles(this);
        this.localOwner = GuardedOwnerLink.create(nodeRoles.owner, () => this.checkRoles());
        this.groupStateSync = GroupStateSync.create({
            peers,
            clock,
            random,
            directory: nodeRoles.groups,
            shares: nodeRoles.shares,
            listGroups: () => replica.current?.groups.keys() ?? [],
            listReceivers: () => this.listViewReceivers(),
            listSuccessors: upstream => this.owners.listSuccessors(upstream),
        });
    }

    public static create(options: VmNodeOptions): VmNode {
        return new VmNode(options);
    }

    /** This VM's copy of the configuration. */
    public get replica(): ConfigurationReplica {
        return this.nodeConfiguration.replica;
    }

    /** The configuration currently in effect on this VM. */
    public get configuration(): ConfigurationSource {
        return this.replica;
    }

    /** Notified when another VM reports that the platform's VM list shows this VM as leaving. */
    public get leaveRequested(): Signal<void> {
        return this.membership.leaveRequested;
    }

    /** Services that this VM provides to other VMs over its links. */
    public get services(): PeerServices {
        return {
            owner: this.localOwner,
            readDigest: () => this.replica.readDigest(),
            pullShards: names => this.replica.readDocuments(names),
            pushShards: (deltas, senderId) => this.nodeConfiguration.sync.handlePush(deltas, senderId),
            exchangeMembers: exchange => this.zoneRelay.handleExchange(exchange),
            exchangeGroups: exchange => this.groupStateSync.handleExchange(exchange),
        };
    }

    /** Returns the reason why this VM may not use its roles at present; undefined if it may. */
    public checkRoles(): Failure | undefined {
        return this.membership.guard.mayUseRoles() ? undefined : createFailure(Diagnostics.rolesNotHeld, RunOutcome.DidNotRun, this.options.settings.id);
    }

    /** Returns the place of this VM among the coordinators of a group, counted from 0; undefined if it is not one of them or may not use its roles. */
    public findCoordinatorPlace(group: DatabaseGroup): number | undefined {
        if (this.checkRoles() !== undefined) return undefined;
        const isInEffect = this.replica.current?.groups.get(group.name) === group;
        return isInEffect ? this.owners.listCoordinated().get(group.name) : this.roles.findCoordinatorPlace(group);
    }

    /** Runs all background tasks of the node until cancelled. */
    public *run(): Operation<never> {
        try {
            return yield* race([
                this.membership.run(),
                this.zoneRelay.run(),
                this.nodeConfiguration.run(),
                this.vmListWatcher.run(),
                this.groupStateSync.run(),
            ]);
        }
        finally {
            yield* this.zoneRelay.close();
            yield* this.groupStateSync.close();
        }
    }

    /** Announces that this VM takes no new work, and waits for the announcement to propagate. */
    public *leave(): Operation<void> {
        this.membership.announceLeaving();
        yield* sleep(this.options.clock, leavePropagationMs);
    }

    /** Announces that this VM is stopping. */
    public stop(): void {
        this.membership.stop();
    }

    /** Waits up to `timeoutMs` milliseconds until the VM has joined the cluster and has every shard of the configuration. */
    public *waitForReadiness(timeoutMs: number): Operation<Result<void, Failure>> {
        const { clock, settings } = this.options;
        const deadline = clock.now() + timeoutMs;
        while (!this.replica.isComplete || this.checkRoles() !== undefined) {
            if (clock.now() >= deadline) return Err(createFailure(Diagnostics.notReady, RunOutcome.DidNotRun, settings.id, timeoutMs));
            yield* sleep(clock, 20);
        }
        return Ok.EMPTY;
    }

    private createMembership(): Membership {
        const { settings, clock, random, transport } = this.options;
        return Membership.create({
            self: {
                id: settings.id,
                zone: settings.zone,
                host: settings.host,
                heartbeatPort: settings.heartbeatPort,
                linkPort: settings.linkPort,
                incarnation: settings.incarnation,
                leaving: false,
            },
            transport,
            codec: HeartbeatCodec.create(settings.clusterKey),
            clock,
            random,
            readSeeds: () => [...settings.seeds, ...this.vmListWatcher.readSeeds()],
            readConfigurationMark: () => this.replica.mark,
            onConfigurationMark: (sender, mark) => this.nodeConfiguration.sync.handleMark(sender, mark),
            onNotice: notice => this.handleNotice(notice),
        });
    }

    /** A zone counts as unreachable only when every relay of this VM's zone reports it as unreachable. */
    private isReachable(zone: string): boolean {
        const ownZone = this.options.settings.zone;
        const relays = zone === ownZone ? [] : this.roles.listRelays(ownZone);
        return relays.length === 0 || relays.some(relay => !(this.membership.findNotice(relay.vm.id)?.unreachable.includes(zone) ?? false));
    }

    private handleNotice(notice: ZoneNotice): void {
        this.zoneRelay.checkZones(notice.unreachable);
        this.owners.changed.notifyAll();
        this.report("zoneNotice", { relay: notice.relay, unreachable: notice.unreachable.join() });
    }

    private createZoneRelay(): ZoneRelay {
        const { settings, clock, random, peers } = this.options;
        return ZoneRelay.create({
            zone: settings.zone,
            membership: this.membership,
            roles: this.roles,
            peers,
            clock,
            random,
            readConfigurationMark: () => this.replica.mark,
            onConfigurationMark: (sender, mark) => this.nodeConfiguration.sync.handleMark(sender, mark),
        });
    }

    private listNeighbours(): readonly ReturnType<typeof toVm>[] {
        const { id, zone } = this.options.settings;
        return findNeighbours(id, this.membership.table.listLive(zone)).map(toVm);
    }

    /** Returns the VMs to which views are forwarded: the neighbours and, if this VM is a relay, one relay of each other zone. */
    private listViewReceivers(): readonly ReturnType<typeof toVm>[] {
        const neighbours = this.listNeighbours();
        if (!this.roles.isRelay()) return neighbours;
        const otherZones = this.membership.table.zoneNames.filter(zone => zone !== this.options.settings.zone);
        const remoteRelays = otherZones.map(zone => {
            const relays = this.roles.listRelays(zone);
            return relays[Math.floor(this.options.random.next() * relays.length)];
        });
        return [...neighbours, ...remoteRelays.filter(member => member !== undefined).map(toVm)];
    }

    private reportMemberChange(member: Member, before: Member | undefined): void {
        if (before?.state === member.state && before.vm.leaving === member.vm.leaving) return;
        const { id, zone, incarnation, leaving } = member.vm;
        this.report("memberChanged", { vm: id, zone, state: MemberState[member.state], incarnation, leaving });
    }

    private report(event: string, fields: Readonly<Record<string, unknown>>): void {
        this.options.onEvent?.(event, fields);
    }
}

function toVm(member: Member): Member["vm"] {
    return member.vm;
}
