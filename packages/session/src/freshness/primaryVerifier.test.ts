import { sleep } from "@vanillarouter/base/sleep";
import { Task } from "@vanillarouter/base/task";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Freshness } from "../model/freshness";
import { TestBed } from "../testing/testBed";

// Guards against retries that ask the same unresponsive replica again. Reads failed for seconds after a zone was disconnected.
test("the other replica verifies the primary when the first does not respond", () => {
    const bed = TestBed.create();
    bed.group.primaryTracker.recordPrimary("u1", 1);
    for (const unresponsiveId of ["u2", "u3"]) {
        bed.fakeGroup.find(unresponsiveId).isUnresponsive = true;
        const verification = bed.run(bed.group.primaryVerifier.verify(1, bed.clock.now(), bed.clock.now() + 800));
        assert.equal(verification?.term, 1);
        bed.fakeGroup.find(unresponsiveId).isUnresponsive = false;
    }
});

// Load pattern: a flood of reads fills one replica. Urgent reads and writes wait for a status, which must not wait behind that flood.
test("the replica with free slots verifies the primary, also from another zone", () => {
    const bed = TestBed.create();
    bed.group.primaryTracker.recordPrimary("u1", 1);
    bed.registerUpstream("u2", "zone-1");
    const pools = ["u2", "u3"].map(id => bed.pools.find(id)!);
    const asked: string[] = [];
    for (const pool of pools) {
        const runControl = pool.runControl.bind(pool);
        pool.runControl = (kind, timeoutMs, term) => {
            asked.push(pool.upstream.id);
            return runControl(kind, timeoutMs, term);
        };
    }
    const verify = (): void => void bed.run(bed.group.primaryVerifier.verify(1, bed.clock.now(), bed.clock.now() + 800));
    verify();
    const workClass = bed.createRequest(Freshness.BoundedAge, true).workClass;
    const request = { session: bed.session, workClass, receivedAt: bed.clock.now(), deadline: bed.clock.now() + 900, waitDeadline: bed.clock.now() + 900 };
    const running = Task.start(pools[0]!.run(request, () => sleep(bed.clock, 500)));
    for (let step = 0; step < 10; step++) bed.clock.advance(1);
    verify();
    assert.deepEqual(asked, ["u2", "u3"]);
    running.cancel();
});

// Guards against stale reads from a former primary: after a promotion, neither other upstream may confirm the old term.
test("a fenced or promoted replica does not verify the old term", () => {
    const bed = TestBed.create();
    bed.group.primaryTracker.recordPrimary("u1", 1);
    for (const id of ["u2", "u3"]) bed.fakeGroup.find(id).fenceTerm = 2;
    assert.equal(bed.run(bed.group.primaryVerifier.verify(1, bed.clock.now(), bed.clock.now() + 800)), undefined);
    bed.fakeGroup.find("u1").isReplicating = false;
    bed.fakeGroup.promote("u2");
    assert.equal(bed.run(bed.group.primaryVerifier.verify(1, bed.clock.now(), bed.clock.now() + 800)), undefined);
    assert.equal(bed.group.primaryTracker.isSuspected, true);
});

// Guards against reusing a verification that began before the read: it does not cover commits acknowledged since.
test("a verification that began earlier is not used for a later request", () => {
    const bed = TestBed.create();
    bed.group.primaryTracker.recordPrimary("u1", 1);
    const first = bed.run(bed.group.primaryVerifier.verify(1, bed.clock.now(), bed.clock.now() + 800));
    const since = bed.clock.now();
    const second = bed.run(bed.group.primaryVerifier.verify(1, since, since + 800));
    assert.ok(first !== undefined && second !== undefined);
    assert.ok(second.askedAt.at >= since && second.askedAt.at > first.askedAt.at);
});
