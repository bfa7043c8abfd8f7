import { DatabaseGroup } from "@vanillarouter/base/databaseGroup";
import { hashName } from "@vanillarouter/platform/hashName";
import { Member } from "./member";
import { MemberTable } from "./memberTable";
import { mixHashes } from "./mixHashes";
import { orderZones } from "./orderZones";

interface CachedOrder {
    readonly version: number;
    readonly order: readonly Member[];
}

const relayCount = 3;
/** Number of VMs that monitor a group. Each polls all upstreams of the group, so the cost of more would outweigh the benefit. */
const coordinatorCount = 3;
/** Number of candidates kept for each role: the holder and the VMs that would succeed it. */
const candidatesPerRole = 3;
const maxCachedOrders = 100_000;

/**
 * Assigns roles by rendezvous hashing over the members of a zone. Every VM with the same member table computes the same
 * assignment, and a member that joins or leaves moves only its own roles.
 */
export class RoleAssignment {
    private readonly orders = new Map<string, CachedOrder>();

    private constructor(private readonly table: MemberTable, private readonly selfId: string, private readonly isReachable: (zone: string) => boolean) {}

    /** Creates the assignment as seen by one VM; unreachable zones hold no roles. */
    public static create(table: MemberTable, selfId: string, isReachable: (zone: string) => boolean = () => true): RoleAssignment {
        return new RoleAssignment(table, selfId, isReachable);
    }

    /** Returns the owner of an upstream followed by its successors, from the upstream's zone or else the nearest zone that can hold roles. */
    public orderOwners(upstream: string, zone: string): readonly Member[] {
        const ownerZone = this.canHoldRoles(zone) ? zone : this.findNearestZone(zone);
        return ownerZone === undefined ? [] : this.orderMembers(`owner:${upstream}`, ownerZone);
    }

    /** Returns the VMs of a zone that watch the store and exchange data with other zones. */
    public listRelays(zone: string): readonly Member[] {
        return this.orderMembers("relay", zone).slice(0, relayCount);
    }

    public isRelay(): boolean {
        const zone = this.table.find(this.selfId)?.vm.zone;
        return zone !== undefined && this.listRelays(zone).some(member => member.vm.id === this.selfId);
    }

    /**
     * Returns the place of this VM among the coordinators of a group, counted from 0; undefined if it is not one. Places
     * alternate between the zones of the group's upstreams, so that the next coordinator survives the loss of a zone, and
     * only the members of this VM's zone need to be compared.
     */
    public findCoordinatorPlace(group: DatabaseGroup): number | undefined {
        const ownZone = this.table.find(this.selfId)?.vm.zone;
        const groupZones = this.listGroupZones(group);
        if (ownZone === undefined || !groupZones.includes(ownZone)) return undefined;
        const hash = hashName(group.name);
        const zones = [...groupZones].sort((first, second) => mixHashes(hash, hashName(second)) - mixHashes(hash, hashName(first)));
        const zoneIndex = zones.indexOf(ownZone);
        const placeInZone = this.orderMembers(`group:${group.name}`, ownZone).findIndex(member => member.vm.id === this.selfId);
        const coordinatorPlace = placeInZone * zones.length + zoneIndex;
        return placeInZone < 0 || coordinatorPlace >= coordinatorCount ? undefined : coordinatorPlace;
    }

    /**
     * Returns a string that changes whenever roles of the VMs of a zone may have moved, which happens when the members of that
     * zone or the set of zones that can hold roles change. Changes of single members of other zones do not affect it.
     */
    public readEpoch(zone: string): string {
        return `${this.table.readVersion(zone)} ${this.table.zoneNames.filter(name => this.canHoldRoles(name)).join()}`;
    }

    /** Returns whether a zone has eligible VMs and is reachable from this VM's zone. */
    public canHoldRoles(zone: string): boolean {
        return this.table.listEligible(zone).length > 0 && this.isReachable(zone);
    }

    private listGroupZones(group: DatabaseGroup): readonly string[] {
        const upstreamZones = [...new Set(group.upstreams.map(upstream => upstream.zone))].filter(zone => this.canHoldRoles(zone));
        return upstreamZones.length > 0 ? upstreamZones : this.table.zoneNames.filter(zone => this.canHoldRoles(zone));
    }

    private findNearestZone(zone: string): string | undefined {
        return orderZones(zone, this.table.zoneNames).find(name => this.canHoldRoles(name));
    }

    /** Returns the members of a zone with the highest weights for a role. */
    private orderMembers(role: string, zone: string): readonly Member[] {
        const key = `${role}@${zone}`;
        const version = this.table.readVersion(zone);
        const cached = this.orders.get(key);
        if (cached?.version === version) return cached.order;
        const order = selectHighestWeights(hashName(role), this.table.listEligible(zone));
        if (this.orders.size >= maxCachedOrders) this.orders.clear();
        this.orders.set(key, { version, order });
        return order;
    }
}

function selectHighestWeights(roleHash: number, members: readonly Member[]): readonly Member[] {
    const best: { readonly weight: number; readonly member: Member; }[] = [];
    for (const member of members) {
        const weight = mixHashes(roleHash, member.idHash);
        if (best.length === candidatesPerRole && weight <= best[candidatesPerRole - 1]!.weight) continue;
        const index = best.findIndex(candidate => weight > candidate.weight);
        best.splice(index < 0 ? best.length : index, 0, { weight, member });
        if (best.length > candidatesPerRole) best.pop();
    }
    return best.map(candidate => candidate.member);
}
