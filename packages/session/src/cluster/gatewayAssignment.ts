import { MemberEntry } from "../model/memberEntry";
import { ClusterView } from "./clusterView";
import { orderMembers } from "./orderMembers";

/** Fraction of an upstream's connection limit that is divided among VMs. The rest covers joining VMs and differing member lists. */
const sharedFraction = 0.9;
/** With fewer connections than this, one open transaction would block all other work of the VM at the upstream. */
const minConnectionsPerVm = 2;
/**
 * With tenants, all VMs are gateways only if each may hold this many connections to each upstream. With fewer, VMs that serve all
 * tenants close connections of one tenant for another's at most operations.
 */
const minConnectionsPerVmWithTenants = 16;
/** Minimum number of connections of a gateway to each upstream when not every VM is a gateway. */
const minConnectionsPerGateway = 4;
const minGateways = 2;
/** One gateway schedules up to this many slots. More gateways of a service know less of each other's use of its slots. */
const slotsPerGateway = 4;
/** Exponent of a VM's capacity in its weight. Above 1 because each VM needs a part of its capacity for its own callers. */
const capacityExponent = 2;
/** Connection limit that is assumed for a service until its configuration arrives. */
const unknownConnectionLimit = 16;

interface ServiceGateways {
    readonly members: readonly MemberEntry[];
    readonly connectionsPerVm: number;
    readonly basis: AssignmentBasis;
}

/** What an assignment depends on. Most changes of the cluster, such as the role of an upstream or a route, change nothing of it. */
interface AssignmentBasis {
    readonly memberGeneration: number;
    readonly maxConnections: number;
    /** Zones with an upstream of the service, in alphabetical order. */
    readonly zones: readonly string[];
    /** Slots of all upstreams of the service. */
    readonly slots: number;
    /** Whether each connection belongs to one of several tenants. */
    readonly hasTenants: boolean;
}

/**
 * Decides which VMs hold connections to the upstreams of a service: all of them while the connection limit suffices,
 * otherwise a few by rendezvous hashing. The other VMs relay their statements to these gateways.
 *
 * Every zone with an upstream of the service has a gateway, so that a part of the network that is cut off can still use the
 * upstreams in it. Large VMs are chosen more often, because a gateway carries the statements of many others.
 *
 * VMs whose lists differ may choose differently for a moment. That costs connections but does not affect correctness.
 */
export class GatewayAssignment {
    private generation = -1;
    private readonly assignments = new Map<string, ServiceGateways>();
    /** Services whose assignment has been checked since the last change of the cluster. */
    private readonly checkedServices = new Set<string>();

    private constructor(private readonly cluster: ClusterView) {}

    public static create(cluster: ClusterView): GatewayAssignment {
        return new GatewayAssignment(cluster);
    }

    /** Returns the gateways of a service. VMs with the same member list get the same gateways in the same order. */
    public list(service: string): readonly MemberEntry[] {
        return this.getOrAssign(service).members;
    }

    /** Whether this VM is a gateway of the service. */
    public isGateway(service: string): boolean {
        return this.list(service).some(member => member.id === this.cluster.vmId);
    }

    /** Returns how many connections a gateway may hold to each upstream of the service. */
    public getConnectionLimit(service: string): number {
        return this.getOrAssign(service).connectionsPerVm;
    }

    private getOrAssign(service: string): ServiceGateways {
        if (this.generation !== this.cluster.generation) {
            this.generation = this.cluster.generation;
            this.checkedServices.clear();
        }
        const known = this.assignments.get(service);
        if (known !== undefined && this.checkedServices.has(service)) return known;
        this.checkedServices.add(service);
        const basis = this.describeBasis(service);
        if (known !== undefined && isSameBasis(known.basis, basis)) return known;
        const gateways = this.assign(service, basis);
        this.assignments.set(service, gateways);
        return gateways;
    }

    private describeBasis(service: string): AssignmentBasis {
        const upstreams = this.cluster.listUpstreams(service);
        return {
            memberGeneration: this.cluster.memberGeneration,
            maxConnections: this.cluster.configuration?.services.get(service)?.maxConnections ?? unknownConnectionLimit,
            zones: [...new Set(upstreams.map(upstream => upstream.zone))].sort(),
            slots: upstreams.reduce((sum, upstream) => sum + upstream.slots, 0),
            hasTenants: this.cluster.configuration?.tenants !== undefined,
        };
    }

    private assign(service: string, basis: AssignmentBasis): ServiceGateways {
        const limit = basis.maxConnections * sharedFraction;
        const activeMembers = this.cluster.memberList.filter(member => !member.isLeaving);
        const count = this.countGateways(basis, limit, activeMembers.length);
        const members = this.orderByPreference(service, activeMembers, basis.zones).slice(0, count);
        const connectionsPerVm = Math.max(minConnectionsPerVm, Math.floor(limit / Math.max(1, members.length)));
        return { members, connectionsPerVm, basis };
    }

    private countGateways({ slots, zones, hasTenants }: AssignmentBasis, limit: number, memberCount: number): number {
        const neededPerVm = hasTenants ? minConnectionsPerVmWithTenants : minConnectionsPerVm;
        if (Math.floor(limit / memberCount) >= neededPerVm) return memberCount;
        const wanted = Math.max(minGateways, zones.length, Math.ceil(slots / slotsPerGateway));
        const least = hasTenants ? Math.max(minGateways, Math.min(zones.length, Math.floor(limit / minConnectionsPerVm))) : minGateways;
        return Math.max(least, Math.min(wanted, Math.floor(limit / minConnectionsPerGateway)));
    }

    /** Orders VMs by preference: the best one of each zone with an upstream first. */
    private orderByPreference(service: string, members: readonly MemberEntry[], zones: readonly string[]): readonly MemberEntry[] {
        const ordered = orderMembers(service, members, member => member.capacity ** capacityExponent);
        const localMembers = zones.flatMap(zone => ordered.find(member => member.zone === zone) ?? []);
        return [...new Set([...localMembers, ...ordered])];
    }
}

function isSameBasis(first: AssignmentBasis, second: AssignmentBasis): boolean {
    return first.memberGeneration === second.memberGeneration
        && first.maxConnections === second.maxConnections
        && first.zones.join() === second.zones.join()
        && first.slots === second.slots
        && first.hasTenants === second.hasTenants;
}
