import { Task } from "@vanillarouter/base/task";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CommandKind } from "../model/commandKind";
import { TestBed } from "../testing/testBed";

const failoverTargetMs = 2_000;

function advance(bed: TestBed, ms: number): void {
    for (let elapsed = 0; elapsed < ms; elapsed++) bed.clock.advance(1);
}

function startWatcher(bed: TestBed): void {
    Task.start(bed.createWatcher().run());
    advance(bed, 100);
}

// Guards against long write outages: an unresponsive primary must be replaced within the failover target.
test("an unresponsive primary is replaced within two seconds of being suspected", () => {
    const bed = TestBed.create();
    startWatcher(bed);
    assert.equal(bed.group.primaryTracker.primary?.id, "u1");
    bed.fakeGroup.find("u1").isUnresponsive = true;
    bed.fakeGroup.find("u1").isReplicating = false;
    bed.group.primaryTracker.suspect("test");
    advance(bed, failoverTargetMs);
    assert.equal(bed.fakeGroup.promotions.length, 1);
    assert.notEqual(bed.group.primaryTracker.primary?.id, "u1");
});

// Guards against failovers that are started by a VM which is isolated itself.
test("a VM that reaches no upstream promotes nothing", () => {
    const bed = TestBed.create();
    startWatcher(bed);
    for (const server of bed.fakeGroup.servers) server.isUnresponsive = true;
    bed.group.primaryTracker.suspect("test");
    advance(bed, 8_000);
    for (const server of bed.fakeGroup.servers) server.isUnresponsive = false;
    advance(bed, 1_000);
    assert.deepEqual(bed.fakeGroup.promotions, []);
    assert.equal(bed.group.primaryTracker.primary?.id, "u1");
});

// Guards against replacing a healthy primary because of one lost response.
test("a suspicion alone does not replace a primary that responds", () => {
    const bed = TestBed.create();
    startWatcher(bed);
    for (let round = 0; round < 20; round++) {
        bed.group.primaryTracker.suspect("test");
        advance(bed, 200);
    }
    assert.deepEqual(bed.fakeGroup.promotions, []);
});

// Guards against replicas that stay fenced forever after the VM that fenced them has failed.
test("a fence that another VM left is removed by a promotion", () => {
    const bed = TestBed.create();
    startWatcher(bed);
    for (const id of ["u2", "u3"]) bed.fakeGroup.find(id).fenceTerm = 2;
    bed.group.primaryTracker.suspect("test");
    advance(bed, 6_000);
    assert.equal(bed.fakeGroup.promotions.length, 1);
    assert.ok(bed.fakeGroup.servers.every(server => server.fenceTerm === 0));
});

// Guards against a VM in a disconnected zone that detects its isolation only one group at a time.
test("an upstream that does not respond is reported, so that the other groups are checked", () => {
    const bed = TestBed.create();
    const reasons: string[] = [];
    bed.fakeGroup.find("u3").isUnresponsive = true;
    Task.start(bed.createWatcher(reason => reasons.push(reason)).run());
    advance(bed, 1_000);
    assert.match(reasons[0] ?? "", /u3/);
    const other = bed.groups.getOrCreate("views");
    other.primaryTracker.recordPrimary("v1", 1);
    bed.groups.suspectAll("test");
    assert.equal(other.primaryTracker.isSuspected, true);
});

// Guards against a VM that refuses everything for good: two replicas failed it for a moment, and the primary is not suspected.
test("an isolated VM notices that its upstreams respond again although the primary is not suspected", () => {
    const bed = TestBed.create();
    startWatcher(bed);
    for (const id of ["u2", "u3"]) {
        bed.fakeGroup.find(id).isUnresponsive = true;
        bed.run(bed.pools.find(id)!.runControl(CommandKind.Status, 300));
    }
    advance(bed, 1_000);
    assert.equal(bed.group.primaryTracker.isSuspected, false);
    assert.equal(bed.group.isIsolated, true);
    for (const id of ["u2", "u3"]) bed.fakeGroup.find(id).isUnresponsive = false;
    advance(bed, 2_000);
    assert.equal(bed.group.isIsolated, false);
});

function listAddressesWithoutListeners(bed: TestBed, ids: readonly string[]): void {
    for (const id of ids) {
        bed.fakeGroup.addServer(id).refusesDials = true;
        bed.registerUpstream(id, "zone-1");
    }
}

// Guards against a VM that takes itself for isolated, and refuses all writes, because more dead addresses are listed than upstreams.
test("listed addresses without a listener do not make a VM isolated", () => {
    const bed = TestBed.create();
    listAddressesWithoutListeners(bed, ["x1", "x2", "x3", "x4"]);
    startWatcher(bed);
    advance(bed, 1_000);
    assert.equal(bed.group.isIsolated, false);
});

// Guards against a failover that waits for a fence at an address where nothing listens.
test("a primary is replaced although an address without a listener is listed", () => {
    const bed = TestBed.create();
    listAddressesWithoutListeners(bed, ["x1"]);
    startWatcher(bed);
    advance(bed, 8_000);
    bed.fakeGroup.find("u1").isUnresponsive = true;
    bed.fakeGroup.find("u1").isReplicating = false;
    bed.group.primaryTracker.suspect("test");
    advance(bed, failoverTargetMs);
    assert.equal(bed.fakeGroup.promotions.length, 1);
});

// Guards against two primaries: a replica that only this VM cannot reach may go on confirming commits of the old one.
test("a primary is not replaced while a replica that may be alive cannot be fenced", () => {
    const bed = TestBed.create();
    bed.fakeGroup.find("u3").isUnresponsive = true;
    startWatcher(bed);
    advance(bed, 8_000);
    bed.fakeGroup.find("u1").isUnresponsive = true;
    bed.group.primaryTracker.suspect("test");
    advance(bed, 8_000);
    assert.deepEqual(bed.fakeGroup.promotions, []);
});
