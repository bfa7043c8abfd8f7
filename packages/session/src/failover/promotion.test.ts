import assert from "node:assert/strict";
import { test } from "node:test";
import { CommandKind } from "../model/commandKind";
import { TestBed } from "../testing/testBed";
import { collectReports } from "./collectReports";

function collectStatusReports(bed: TestBed): ReturnType<typeof collectReports> {
    return collectReports(bed.group.pools.list("orders"), CommandKind.Status, 300);
}

// Guards against the loss of acknowledged commits: only one of the replicas may have a copy.
test("the replica with the most complete log is promoted after both were fenced", () => {
    const bed = TestBed.create();
    bed.group.primaryTracker.recordPrimary("u1", 1);
    bed.fakeGroup.find("u2").isReplicating = false;
    const primary = bed.fakeGroup.find("u1");
    primary.run(primary.createSession(), { kind: CommandKind.Forward, id: "w1", text: "WRITE a 1" });
    primary.isUnresponsive = true;
    primary.isReplicating = false;
    bed.fakeGroup.find("u2").isReplicating = true;
    const reports = bed.run(collectStatusReports(bed));
    assert.equal(bed.run(bed.createPromotion().run(reports, "u1", "test")), true);
    assert.deepEqual(bed.fakeGroup.promotions, ["u3"]);
    assert.deepEqual(bed.group.primaryTracker.primary, { id: "u3", term: 2 });
});

// Guards against a promotion with an unfenced replica, which would continue to confirm the old primary.
test("nothing is promoted while a replica cannot be fenced and the old primary was not demoted", () => {
    const bed = TestBed.create();
    bed.group.primaryTracker.recordPrimary("u1", 1);
    bed.fakeGroup.find("u1").isUnresponsive = true;
    const reports = bed.run(collectStatusReports(bed));
    bed.fakeGroup.find("u3").isUnresponsive = true;
    assert.equal(bed.run(bed.createPromotion().run(reports, "u1", "test")), false);
    assert.deepEqual(bed.fakeGroup.promotions, []);
});

// Guards against needless promotions: after a zone was reconnected, its VMs replaced two healthy primaries because of outdated reports.
test("nothing is promoted when the primary responds again after the claim was taken", () => {
    const bed = TestBed.create();
    bed.group.primaryTracker.recordPrimary("u1", 1);
    bed.fakeGroup.find("u1").isUnresponsive = true;
    const reports = bed.run(collectStatusReports(bed));
    bed.onClaimTaken = () => bed.fakeGroup.find("u1").isUnresponsive = false;
    bed.run(bed.createPromotion().run(reports, "u1", "test"));
    assert.deepEqual(bed.fakeGroup.promotions, []);
});

// Guards against a late promotion by a VM that was suspended while it held the claim.
test("a claim that was held through a suspension is not used", () => {
    const bed = TestBed.create();
    bed.group.primaryTracker.recordPrimary("u1", 1);
    bed.fakeGroup.find("u1").isUnresponsive = true;
    const reports = bed.run(collectStatusReports(bed));
    bed.onClaimTaken = () => bed.timeOfDayOffsetMs += 4_000;
    assert.equal(bed.run(bed.createPromotion().run(reports, "u1", "test")), false);
    assert.deepEqual(bed.fakeGroup.promotions, []);
});

// Guards against lost writes in a planned switchover: the old primary stops writing before a replica with its whole log is promoted.
test("a primary that is leaving is demoted before its successor is promoted", () => {
    const bed = TestBed.create();
    bed.group.primaryTracker.recordPrimary("u1", 1);
    bed.registerUpstream("u1", "zone-1", true);
    const reports = bed.run(collectStatusReports(bed));
    assert.equal(bed.run(bed.createPromotion().run(reports, "u1", "the primary is leaving")), true);
    assert.equal(bed.fakeGroup.find("u1").isPrimary, false);
    assert.equal(bed.fakeGroup.promotions.length, 1);
});

// Guards against two promotions at once: the claim is gone if the store came back from an older backup, and another VM may take it.
test("a claim of a history that the store has lost is not used", () => {
    const bed = TestBed.create();
    bed.group.primaryTracker.recordPrimary("u1", 1);
    bed.fakeGroup.find("u1").isUnresponsive = true;
    const reports = bed.run(collectStatusReports(bed));
    bed.onClaimTaken = () => bed.isClaimCurrent = false;
    assert.equal(bed.run(bed.createPromotion().run(reports, "u1", "test")), false);
    assert.deepEqual(bed.fakeGroup.promotions, []);
});
