import { ManualClock } from "@vanillarouter/base/manualClock";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ClusterState } from "./clusterState";
import { StoreWatchers } from "./storeWatchers";

function createCluster(count: number): ClusterState {
    const members = Array.from(
        { length: count },
        (_, index) => ({ id: `vm-${index}`, zone: `z${index % 4}`, relayAddress: "h:1", capacity: 1, isLeaving: false }),
    );
    const cluster = ClusterState.create(members[0]!, ManualClock.create());
    for (const member of members) cluster.putMember(member);
    return cluster;
}

// Guards against a number of store calls that grows with the number of VMs.
test("every VM of a small cluster watches the store, but only three per zone of a large one", () => {
    assert.equal(StoreWatchers.create(createCluster(12)).list().length, 12);
    const watchers = StoreWatchers.create(createCluster(65)).list();
    assert.deepEqual(["z0", "z1", "z2", "z3"].map(zone => watchers.filter(member => member.zone === zone).length), [3, 3, 3, 3]);
});

// Guards against VMs that get their changes from a watcher which is about to stop.
test("a VM that is leaving is not a watcher", () => {
    const cluster = createCluster(65);
    const watchers = StoreWatchers.create(cluster);
    const leaving = watchers.list().find(member => member.id !== cluster.vmId)!;
    cluster.putMember({ ...leaving, isLeaving: true });
    assert.equal(watchers.list().some(member => member.id === leaving.id), false);
    assert.equal(watchers.list().filter(member => member.zone === leaving.zone).length, 3);
});

// Guards against watchers that notice late that they are cut off from the store, because they take themselves for the only one concerned.
test("a watcher knows that other VMs depend on it", () => {
    assert.equal(StoreWatchers.create(createCluster(12)).hasFollowers, false);
    const members = createCluster(65).memberList;
    const watcherIds = new Set(StoreWatchers.create(createCluster(65)).list().map(({ id }) => id));
    for (const own of members) {
        const cluster = ClusterState.create(own, ManualClock.create());
        for (const member of members) cluster.putMember(member);
        assert.equal(StoreWatchers.create(cluster).hasFollowers, watcherIds.has(own.id));
    }
});
