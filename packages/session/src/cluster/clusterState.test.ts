import { ManualClock } from "@vanillarouter/base/manualClock";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RoutingConfiguration } from "../model/routingConfiguration";
import { UpstreamEntry } from "../model/upstreamEntry";
import { ClusterState } from "./clusterState";

function createConfiguration(version: number): RoutingConfiguration {
    return { version, classes: new Map(), services: new Map(), transactionIdleMs: 0 };
}

const own = { id: "vm", zone: "z", relayAddress: undefined, capacity: 1, isLeaving: false };
const upstream: UpstreamEntry = { id: "u1", service: "s", host: "h", port: 1, zone: "z", slots: 1, isLeaving: false, claimsPrimary: true, startedAtMs: 1 };

// Guards against a stale read of the store that reverts the configuration to an older version.
test("an older or equal configuration changes nothing", () => {
    const cluster = ClusterState.create(own, ManualClock.create());
    assert.equal(cluster.applyConfiguration(createConfiguration(7)), true);
    assert.equal(cluster.applyConfiguration(createConfiguration(7)), false);
    assert.equal(cluster.applyConfiguration(createConfiguration(3)), false);
    assert.equal(cluster.configuration?.version, 7);
});

// Guards against both errors when service discovery entries expire during a store outage: dropping a live upstream and keeping a dead one.
test("a missing upstream is kept for its grace period and then dropped", () => {
    const clock = ManualClock.create();
    const cluster = ClusterState.create(own, clock);
    cluster.putUpstream(upstream);
    cluster.removeUpstream("u1");
    clock.advance(2_000);
    cluster.dropMissing();
    assert.ok(cluster.findUpstream("u1") !== undefined);
    cluster.putUpstream(upstream);
    clock.advance(2_000);
    cluster.dropMissing();
    assert.ok(cluster.findUpstream("u1") !== undefined);
    cluster.removeUpstream("u1");
    clock.advance(2_500);
    cluster.dropMissing();
    assert.equal(cluster.findUpstream("u1"), undefined);
});

// Guards against new work on an upstream that has been leaving for a long time, even if no successor was promoted.
test("an upstream gets no new work after it has been leaving for five seconds", () => {
    const clock = ManualClock.create();
    const cluster = ClusterState.create(own, clock);
    cluster.putUpstream(upstream);
    cluster.putUpstream({ ...upstream, isLeaving: true });
    clock.advance(3_000);
    cluster.putUpstream({ ...upstream, isLeaving: true });
    assert.equal(cluster.isLeavingGraceOver("u1"), false);
    clock.advance(2_100);
    assert.equal(cluster.isLeavingGraceOver("u1"), true);
    cluster.putUpstream(upstream);
    assert.equal(cluster.isLeavingGraceOver("u1"), false);
});

// Guards against a VM that was restarted and uses an upstream that has been leaving for a long time as if it had just begun to leave.
test("an upstream that was leaving before this VM saw it soon gets no new work", () => {
    const clock = ManualClock.create();
    const cluster = ClusterState.create(own, clock);
    cluster.putUpstream({ ...upstream, isLeaving: true });
    clock.advance(1_600);
    assert.equal(cluster.isLeavingGraceOver("u1"), true);
});

// Guards against work on an upstream that has left, during the grace period that is meant for entries that expire in an outage of the store.
test("a leaving upstream is dropped as soon as its entry is removed", () => {
    const cluster = ClusterState.create(own, ManualClock.create());
    cluster.putUpstream(upstream);
    cluster.putUpstream({ ...upstream, isLeaving: true });
    cluster.removeUpstream("u1");
    assert.equal(cluster.findUpstream("u1"), undefined);
});

// Guards against new work for an upstream that is leaving or has left, because a backup of the store lists it as it was before.
test("an entry from a backup is held back if a later state of the upstream is known", () => {
    const clock = ManualClock.create();
    const cluster = ClusterState.create(own, clock);
    const [leaving, gone] = [{ ...upstream, id: "u1", reportNumber: 7, isLeaving: true }, { ...upstream, id: "u2", reportNumber: 7, isLeaving: true }];
    for (const entry of [leaving, gone]) {
        cluster.putUpstream({ ...entry, reportNumber: 4, isLeaving: false });
        cluster.putUpstream(entry);
    }
    cluster.removeUpstream("u2");
    for (const { id } of [leaving, gone]) assert.equal(cluster.putRestoredUpstream({ ...upstream, id, reportNumber: 4 }), false);
    assert.deepEqual(cluster.listUpstreams("s"), [leaving]);
    cluster.putUpstream({ ...leaving, reportNumber: 8 });
    cluster.removeUpstream("u2");
    clock.advance(20_000);
    cluster.dropMissing();
    assert.deepEqual(cluster.listUpstreams("s").map(({ isLeaving }) => isLeaving), [true]);
});

// Guards against an upstream that is never used again, because it had expired while it was silent and the backup has its last report.
test("a held back entry is used if nothing newer arrives, and one of a later report at once", () => {
    const clock = ManualClock.create();
    const cluster = ClusterState.create(own, clock);
    cluster.putUpstream({ ...upstream, reportNumber: 4 });
    cluster.removeUpstream("u1");
    clock.advance(3_000);
    cluster.dropMissing();
    assert.equal(cluster.putRestoredUpstream({ ...upstream, reportNumber: 4 }), false);
    assert.equal(cluster.findUpstream("u1"), undefined);
    clock.advance(10_000);
    cluster.dropMissing();
    assert.equal(cluster.findUpstream("u1")?.reportNumber, 4);
    for (const next of [{ reportNumber: 5 }, { startedAtMs: 2, reportNumber: 1 }]) {
        assert.equal(cluster.putRestoredUpstream({ ...upstream, ...next }), true);
    }
});

// Guards against a leaving upstream whose statements end early because a backup lacks its entry.
test("a leaving upstream that a backup lacks is kept for the grace period", () => {
    const clock = ManualClock.create();
    const cluster = ClusterState.create(own, clock);
    cluster.putUpstream({ ...upstream, isLeaving: true });
    cluster.markUpstreamMissing("u1");
    // The store is read once more within the grace period.
    cluster.removeUpstream("u1");
    cluster.dropMissing();
    assert.ok(cluster.findUpstream("u1") !== undefined);
    clock.advance(3_000);
    cluster.dropMissing();
    assert.equal(cluster.findUpstream("u1"), undefined);
});

// Guards against work for a service that the configuration does not name: its entries may come from another deployment.
test("a service counts only if the configuration names it", () => {
    const cluster = ClusterState.create(own, ManualClock.create());
    cluster.putUpstream(upstream);
    assert.deepEqual([...cluster.services], []);
    cluster.applyConfiguration({
        ...createConfiguration(1),
        services: new Map([["s", { name: "s", maxConnections: 4 }], ["t", { name: "t", maxConnections: 4 }]]),
    });
    assert.deepEqual([...cluster.services], ["s"]);
});
