import { MemberEntry } from "../model/memberEntry";
import { ClusterState } from "./clusterState";
import { orderMembers } from "./orderMembers";

/** If there are at most this many VMs, all of them watch the store. */
const maxVmsWithoutSelection = 16;
/** If there are more, this many in each zone watch it, so that a zone still has a watcher when two of them are down. */
const watchersPerZone = 3;
const hashKey = "store watchers";

/**
 * Decides which VMs watch the platform's store. The others get the changes from a watcher, because the store counts every
 * watch as a call and its rate limits grow more slowly than the number of VMs.
 */
export class StoreWatchers {
    private generation = -1;
    private watchers: readonly MemberEntry[] = [];

    private constructor(private readonly cluster: ClusterState) {}

    public static create(cluster: ClusterState): StoreWatchers {
        return new StoreWatchers(cluster);
    }

    /** Whether this VM watches the store itself. */
    public get includesSelf(): boolean {
        return this.list().some(member => member.id === this.cluster.vmId);
    }

    /** Whether other VMs may get their changes from this one. */
    public get hasFollowers(): boolean {
        return this.includesSelf && this.list().length < this.cluster.memberList.length;
    }

    /** Returns the VMs that watch the store. */
    public list(): readonly MemberEntry[] {
        if (this.generation === this.cluster.generation) return this.watchers;
        this.generation = this.cluster.generation;
        this.watchers = this.choose();
        return this.watchers;
    }

    private choose(): readonly MemberEntry[] {
        const activeMembers = this.cluster.memberList.filter(member => !member.isLeaving);
        if (activeMembers.length <= maxVmsWithoutSelection) return activeMembers;
        const countByZone = new Map<string, number>();
        return orderMembers(hashKey, activeMembers).filter(member => {
            const count = countByZone.get(member.zone) ?? 0;
            countByZone.set(member.zone, count + 1);
            return count < watchersPerZone;
        });
    }
}
