import { Clock } from "@vanillarouter/base/clock";
import { Signal } from "@vanillarouter/base/signal";
import { MemberEntry } from "../model/memberEntry";
import { RoutingConfiguration } from "../model/routingConfiguration";
import { UpstreamEntry } from "../model/upstreamEntry";
import { WorkClass } from "../model/workClass";
import { ClusterView } from "./clusterView";
import { GatewayAssignment } from "./gatewayAssignment";
import { OutdatedUpstreams } from "./outdatedUpstreams";

/** Time for which a missing upstream is kept. If its entry expires during a store outage, it registers again within two seconds of the end of the outage. */
const missingUpstreamGraceMs = 2_300;
/** Time for which a missing VM is kept. Its lease expires in a store outage, and it registers again within this time after the outage. */
const missingMemberGraceMs = 5_000;
/** A leaving primary is used until its successor is promoted, but no longer than this. The platform's limit is 7 s. */
const leavingGraceMs = 5_000;
/** The same for an upstream that was already leaving when this VM first saw it, as after a restart: how long ago it began to leave is not known. */
const unknownLeavingGraceMs = 1_500;

/** This VM's view of the configuration, the upstreams and the other VMs. */
export class ClusterState implements ClusterView {
    /** Wakes tasks that depend on the upstreams and members. */
    public readonly topologyChanged = Signal.create<void>();
    /** Wakes tasks that wait for a configuration. */
    public readonly configurationChanged = Signal.create<void>();
    /** Local time in milliseconds from which a leaving upstream gets no new work. */
    private readonly leavingGraceEnds = new Map<string, number>();
    private currentConfiguration: RoutingConfiguration | undefined;
    private appliedAt = 0;
    private readonly upstreams = new Map<string, UpstreamEntry>();
    private readonly upstreamsMissingSince = new Map<string, number>();
    private readonly outdatedUpstreams: OutdatedUpstreams;
    private readonly members = new Map<string, MemberEntry>();
    private readonly membersMissingSince = new Map<string, number>();
    private changeCount = 0;
    private memberChangeCount = 0;
    /** Decides which VMs hold connections to the upstreams of each service. */
    public readonly gateways: GatewayAssignment;

    private constructor(private readonly own: MemberEntry, private readonly clock: Clock) {
        this.members.set(own.id, own);
        this.gateways = GatewayAssignment.create(this);
        this.outdatedUpstreams = OutdatedUpstreams.create(clock);
    }

    /** `own` describes this VM, which is always in its own member list. */
    public static create(own: MemberEntry, clock: Clock): ClusterState {
        return new ClusterState(own, clock);
    }

    public get vmId(): string {
        return this.own.id;
    }

    /** A number that increases with every change of the configuration, the upstreams or the members. */
    public get generation(): number {
        return this.changeCount;
    }

    /** A number that increases with every change of the members. */
    public get memberGeneration(): number {
        return this.memberChangeCount;
    }

    public get configuration(): RoutingConfiguration | undefined {
        return this.currentConfiguration;
    }

    /** Milliseconds since the current configuration was applied; zero without one. */
    public get configurationAgeMs(): number {
        return this.currentConfiguration === undefined ? 0 : this.clock.now() - this.appliedAt;
    }

    /** The running VMs, including those that are leaving. */
    public get memberList(): readonly MemberEntry[] {
        return [...this.members.values()];
    }

    public findMember(id: string): MemberEntry | undefined {
        return this.members.get(id);
    }

    /** The services of the configuration that have an upstream. Entries of other services are none of this deployment's. */
    public get services(): ReadonlySet<string> {
        const listed = [...this.upstreams.values()].map(upstream => upstream.service);
        return new Set(listed.filter(service => this.currentConfiguration?.services.has(service) === true));
    }

    public get upstreamIds(): readonly string[] {
        return [...this.upstreams.keys()];
    }

    /** Applies a configuration if its version is newer than the current one. Returns whether it was applied. */
    public applyConfiguration(configuration: RoutingConfiguration): boolean {
        if (this.currentConfiguration !== undefined && configuration.version <= this.currentConfiguration.version) return false;
        this.currentConfiguration = configuration;
        this.appliedAt = this.clock.now();
        this.changeCount++;
        this.configurationChanged.notifyAll();
        return true;
    }

    public findClass(database: string): WorkClass | undefined {
        return this.currentConfiguration?.classes.get(database);
    }

    public listUpstreams(service: string): readonly UpstreamEntry[] {
        return [...this.upstreams.values()].filter(upstream => upstream.service === service);
    }

    public findUpstream(id: string): UpstreamEntry | undefined {
        return this.upstreams.get(id);
    }

    /** Adds an entry that a store brought back from a backup, unless a later state of the upstream is known. Returns whether it was added. */
    public putRestoredUpstream(upstream: UpstreamEntry): boolean {
        if (this.outdatedUpstreams.defer(upstream, this.upstreams.get(upstream.id))) return false;
        this.putUpstream(upstream);
        return true;
    }

    public putUpstream(upstream: UpstreamEntry): void {
        this.outdatedUpstreams.discard(upstream.id);
        this.upstreamsMissingSince.delete(upstream.id);
        this.trackLeaving(upstream);
        const known = this.upstreams.get(upstream.id);
        this.upstreams.set(upstream.id, upstream);
        if (known === undefined || !isSameEntry(known, upstream)) this.notifyChange();
    }

    /** Whether an upstream has been leaving for so long that it must get no new work. */
    public isLeavingGraceOver(id: string): boolean {
        const graceEnd = this.leavingGraceEnds.get(id);
        return graceEnd !== undefined && this.clock.now() > graceEnd;
    }

    private trackLeaving(upstream: UpstreamEntry): void {
        if (!upstream.isLeaving) {
            this.leavingGraceEnds.delete(upstream.id);
            return;
        }
        if (this.leavingGraceEnds.has(upstream.id)) return;
        const graceMs = this.upstreams.has(upstream.id) ? leavingGraceMs : unknownLeavingGraceMs;
        this.leavingGraceEnds.set(upstream.id, this.clock.now() + graceMs);
    }

    /**
     * Marks an upstream as missing. It stays in use until `dropMissing` drops it, unless it is listed again before. One that was
     * leaving has left, so it is dropped at once.
     */
    public removeUpstream(id: string): void {
        this.outdatedUpstreams.discard(id);
        const isMissing = this.upstreamsMissingSince.has(id);
        if (this.upstreams.get(id)?.isLeaving === true && !isMissing) this.dropUpstream(id);
        else this.markUpstreamMissing(id);
    }

    /** Marks an upstream as missing although it may be leaving: a backup without its entry does not say that it has left. */
    public markUpstreamMissing(id: string): void {
        if (this.upstreams.has(id) && !this.upstreamsMissingSince.has(id)) this.upstreamsMissingSince.set(id, this.clock.now());
    }

    private dropUpstream(id: string): void {
        const upstream = this.upstreams.get(id);
        if (upstream !== undefined) this.outdatedUpstreams.recordDeparture(upstream);
        this.upstreamsMissingSince.delete(id);
        this.upstreams.delete(id);
        this.leavingGraceEnds.delete(id);
        this.notifyChange();
    }

    /** Drops the upstreams and members that have been missing for too long, and adds held back ones. Must be called several times a second. */
    public dropMissing(): void {
        for (const upstream of this.outdatedUpstreams.takeDue()) this.putUpstream(upstream);
        for (const [id, since] of this.upstreamsMissingSince) {
            if (this.clock.now() - since < missingUpstreamGraceMs) continue;
            this.dropUpstream(id);
        }
        for (const [id, since] of this.membersMissingSince) {
            if (this.clock.now() - since < missingMemberGraceMs) continue;
            this.membersMissingSince.delete(id);
            this.members.delete(id);
            this.memberChangeCount++;
            this.notifyChange();
        }
    }

    public putMember(member: MemberEntry): void {
        if (member.id === this.vmId) return;
        this.membersMissingSince.delete(member.id);
        if (JSON.stringify(this.members.get(member.id)) === JSON.stringify(member)) return;
        this.members.set(member.id, member);
        this.memberChangeCount++;
        this.notifyChange();
    }

    /** Marks a member as missing. It stays listed until `dropMissing` drops it, unless it registers again before. */
    public removeMember(id: string): void {
        if (id !== this.vmId && this.members.has(id) && !this.membersMissingSince.has(id)) this.membersMissingSince.set(id, this.clock.now());
    }

    private notifyChange(): void {
        this.changeCount++;
        this.topologyChanged.notifyAll();
    }
}

/** Whether two entries say the same, apart from the number of the report. */
function isSameEntry(first: UpstreamEntry, second: UpstreamEntry): boolean {
    return JSON.stringify({ ...first, reportNumber: 0 }) === JSON.stringify({ ...second, reportNumber: 0 });
}
