import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { SeededRandom } from "@vanillarouter/base/seededRandom";
import { Task } from "@vanillarouter/base/task";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CommandKind } from "../model/commandKind";
import { ErrorKind } from "../model/errorKind";
import { Freshness } from "../model/freshness";
import { StatementKind } from "../model/statementKind";
import { TestBed } from "../testing/testBed";
import { OpenTransaction } from "./openTransaction";
import { StatementRunner } from "./statementRunner";
import { TargetFinder } from "./targetFinder";

function createBed(): TestBed {
    const bed = TestBed.create();
    bed.group.primaryTracker.recordPrimary("u1", 1);
    return bed;
}

// Guards against duplicate writes: a write whose response was lost may have run.
test("a write whose response was lost has an unknown outcome and is not retried", () => {
    const bed = createBed();
    bed.fakeGroup.find("u1").losesResponses = true;
    const outcome = bed.run(bed.runner.run(bed.group, bed.createRequest(Freshness.Latest, false), bed.createStatement("w1", StatementKind.Write, "WRITE a 1")));
    assert.ok(outcome.error === ErrorKind.UnknownOutcome || bed.fakeGroup.find("u1").executedIds.length === 0);
    assert.ok(bed.fakeGroup.find("u1").executedIds.filter(id => id === "w1").length <= 1);
});

// Guards against needless failures: a write that failed with `Busy` did not run, so it can be retried.
test("a write that the primary rejected as busy is retried and acknowledged once", () => {
    const bed = createBed();
    bed.fakeGroup.find("u1").nextErrors = [ErrorKind.Busy];
    const outcome = bed.run(bed.runner.run(bed.group, bed.createRequest(Freshness.Latest, false), bed.createStatement("w1", StatementKind.Write, "WRITE a 1")));
    assert.equal(outcome.error, undefined);
    assert.deepEqual(bed.fakeGroup.find("u1").executedIds, ["w1"]);
    assert.deepEqual(bed.floors.find("orders"), { term: 1, position: 1 });
});

// Guards against exposing the failure of a single upstream to callers: reads can be retried on another.
test("a read whose response was lost is retried on another upstream", () => {
    const bed = createBed();
    const req = bed.createRequest(Freshness.BoundedAge, true);
    bed.run(bed.runner.run(bed.group, req, bed.createStatement("r0", StatementKind.Read, "READ a")));
    const used = bed.fakeGroup.servers.find(server => server.executedIds.includes("r0"))!;
    used.losesResponses = true;
    for (const pool of bed.group.pools.list("orders").filter(other => other.upstream.id !== used.id)) pool.responseTimes.add(500);
    const outcome = bed.run(bed.runner.run(bed.group, bed.createRequest(Freshness.BoundedAge, true), bed.createStatement("r1", StatementKind.Read, "READ a")));
    assert.equal(outcome.error, undefined);
    assert.ok(used.executedIds.includes("r1"), "the upstream that loses responses was not tried first");
    assert.ok(outcome.receipt !== undefined && !outcome.receipt.startsWith(used.id));
});

// Guards against reads on an upstream that other VMs keep busy: this VM's own statement count does not show that load.
test("reads avoid a slow upstream and return to it after it has recovered", () => {
    const bed = createBed();
    bed.fakeGroup.find("u2").executionMs = 200;
    const read = (id: string): string =>
        bed.run(bed.runner.run(bed.group, bed.createRequest(Freshness.BoundedAge, true), bed.createStatement(id, StatementKind.Read, "READ a"))).receipt!;
    const count = (prefix: string, reads: number): number =>
        Array.from({ length: reads }, (_, index) => read(`${prefix}${index}`)).filter(receipt => receipt.startsWith("u2/")).length;
    assert.ok(count("a", 20) <= 4);
    bed.fakeGroup.find("u2").executionMs = 0;
    bed.clock.advance(3_000);
    assert.ok(count("b", 40) >= 10);
});

// Guards against overload by retries: an upstream still runs the reads that timed out in its queue.
test("a read waits longer at an upstream that is known to be slow", () => {
    const bed = createBed();
    for (const server of bed.fakeGroup.servers) server.executionMs = 340;
    for (const pool of bed.group.pools.list("orders")) pool.responseTimes.add(330);
    const outcome = bed.run(bed.runner.run(bed.group, bed.createRequest(Freshness.BoundedAge, true), bed.createStatement("s1", StatementKind.Read, "READ a")));
    assert.equal(outcome.error, undefined);
    assert.equal(bed.fakeGroup.servers.filter(server => server.executedIds.includes("s1")).length, 1);
});

// Guards against sessions that read from a lagging replica and miss their own writes.
test("a session reads its own write although one replica lags", () => {
    const bed = createBed();
    const read = (id: string): string =>
        bed.run(bed.runner.run(bed.group, bed.createRequest(Freshness.OwnWrites, true), bed.createStatement(id, StatementKind.Read, "READ a"))).receipt!;
    read("r0");
    bed.fakeGroup.find("u2").isReplicating = false;
    bed.run(bed.runner.run(bed.group, bed.createRequest(Freshness.OwnWrites, false), bed.createStatement("w1", StatementKind.Write, "WRITE a 1")));
    for (let index = 1; index <= 10; index++) assert.ok(!read(`r${index}`).startsWith("u2/"), "the lagging replica ran the read");
});

// Guards against stale reads from a replaced primary that this VM still reaches and still considers primary.
test("a read of the latest state does not run on a replaced primary", () => {
    const bed = createBed();
    bed.fakeGroup.find("u1").isReplicating = false;
    bed.fakeGroup.promote("u2");
    const outcome = bed.run(bed.runner.run(bed.group, bed.createRequest(Freshness.Latest, true), bed.createStatement("r1", StatementKind.Read, "READ a")));
    assert.ok(outcome.error !== undefined || !outcome.receipt!.startsWith("u1/"));
});

// Guards against acknowledging a write that a replaced primary committed.
test("a write at a replaced primary is not acknowledged", () => {
    const bed = createBed();
    bed.fakeGroup.find("u1").isReplicating = false;
    bed.fakeGroup.promote("u2");
    const outcome = bed.run(bed.runner.run(bed.group, bed.createRequest(Freshness.Latest, false), bed.createStatement("w1", StatementKind.Write, "WRITE a 1")));
    assert.notEqual(outcome.error, undefined);
    const isReportedAsNotRun = outcome.error === ErrorKind.Busy;
    assert.ok(!isReportedAsNotRun || bed.fakeGroup.find("u1").executedIds.length === 0, "a write that ran was reported as not run");
});

// Guards against long waits on an isolated VM: it fails statements at once, so that the caller retries on another VM.
test("a VM that reaches no upstream fails statements at once", () => {
    const bed = createBed();
    for (const server of bed.fakeGroup.servers) server.refusesDials = true;
    bed.run(bed.runner.run(bed.group, bed.createRequest(Freshness.Latest, true), bed.createStatement("r0", StatementKind.Read, "READ a")));
    bed.clock.advance(1_000);
    const startedAt = bed.clock.now();
    const outcome = bed.run(bed.runner.run(bed.group, bed.createRequest(Freshness.Latest, false), bed.createStatement("w1", StatementKind.Write, "WRITE a 1")));
    assert.equal(outcome.error, ErrorKind.Busy);
    assert.ok(bed.clock.now() - startedAt < 50, `took ${bed.clock.now() - startedAt} ms`);
});

// Guards against opening more connections than this VM's part of an upstream's connection limit.
test("statements share the connections that one VM may open", () => {
    const bed = createBed();
    const tasks = Array.from(
        { length: 40 },
        (_, index) =>
            Task.start(bed.runner.run(bed.group, bed.createRequest(Freshness.Latest, true), bed.createStatement(`r${index}`, StatementKind.Read, "READ a"))),
    );
    for (let step = 0; step < 1_500; step++) bed.clock.advance(1);
    assert.ok(tasks.every(task => task.isSettled));
    assert.ok(bed.pools.all.every(pool => pool.connectionCount <= 14));
});

// Guards against stale reads on a VM that stood still while the answer to a write was on its way: the position in it is as old as the write.
test("the position in a late answer to a write does not cover what other VMs committed meanwhile", () => {
    for (const isTransaction of [false, true]) {
        const bed = createBed();
        const primary = bed.fakeGroup.find("u1");
        const req = bed.createRequest(Freshness.Latest, false);
        const transaction = OpenTransaction.create(bed.context, bed.group, req);
        const write = bed.createStatement("w1", StatementKind.Write, "WRITE a 1");
        if (isTransaction) bed.run(transaction.runStatement(write));
        primary.executionMs = 800;
        const running = Task.start(
            isTransaction ? transaction.commit(bed.createStatement("w2", StatementKind.Commit, "COMMIT")) : bed.runner.run(bed.group, req, write),
        );
        for (let step = 0; step < 100; step++) bed.clock.advance(1);
        primary.run(primary.createSession(), { kind: CommandKind.Forward, id: "other", text: "WRITE b 1" });
        const otherCommit = { at: bed.clock.now(), position: primary.position };
        while (!running.isSettled) bed.clock.advance(1);
        const maxAgeMs = bed.clock.now() - otherCommit.at - 100;
        const sample = bed.group.positionSamples.findOldest(maxAgeMs);
        assert.ok(
            sample === undefined || compareLogPositions(sample.position, otherCommit.position) >= 0,
            `${JSON.stringify(sample)} is used as covering ${JSON.stringify(otherCommit)}`,
        );
    }
});

/** Runs reads one after another with the choice by expected load, and returns the ids of the upstreams that served them. */
function readByExpectedLoad(bed: TestBed, prefix: string, count: number): readonly string[] {
    const targets = TargetFinder.create(bed.clock, "zone-1", SeededRandom.create(1), true);
    const runner = StatementRunner.create({ ...bed.context, targets });
    return Array.from({ length: count }, (_, index) => {
        const read = bed.createStatement(`${prefix}${index}`, StatementKind.Read, "READ a");
        const outcome = bed.run(runner.run(bed.group, bed.createRequest(Freshness.BoundedAge, true), read));
        return outcome.receipt?.split("/")[0] ?? outcome.error!;
    });
}

// Guards against reads on the primary while replicas have room, and against an upstream that fails reads although its status is good.
test("with expected loads replicas serve the reads, and one that fails them is left until its failures have faded", () => {
    const bed = createBed();
    const count = (served: readonly string[], id: string): number => served.filter(other => other === id).length;
    const calm = readByExpectedLoad(bed, "a", 40);
    assert.equal(count(calm, "u1"), 0);
    assert.ok(count(calm, "u2") >= 10 && count(calm, "u3") >= 10, String(calm));
    bed.fakeGroup.find("u2").nextErrors = [ErrorKind.Failed];
    readByExpectedLoad(bed, "b", 10);
    for (let index = 0; index < 200; index++) bed.run(bed.pools.find("u2")!.runControl(CommandKind.Status, 100));
    const failing = readByExpectedLoad(bed, "c", 20);
    assert.equal(count(failing, "u2"), 0, String(failing));
    bed.clock.advance(10_000);
    assert.ok(count(readByExpectedLoad(bed, "d", 40), "u2") >= 10);
});

// Guards against a status that nobody uses: other VMs' load on an upstream does not show in this VM's own statements.
test("a status that passes changes the choice for a moment", () => {
    const bed = createBed();
    const [, second, third] = bed.group.pools.list("orders");
    second!.slots.recordBusySlots(2);
    assert.deepEqual([second!.slots.expectedOthersBusy, second!.slots.newsAgeMs, third!.slots.expectedOthersBusy], [0.5, 0, 0]);
    bed.clock.advance(1_000);
    assert.ok(second!.slots.expectedOthersBusy < 0.01);
});

// Guards against an upstream that gets its full share of reads at once after it was restarted, when no connection to it is open.
test("an upstream that was restarted under its id gets work gradually", () => {
    const bed = createBed();
    readByExpectedLoad(bed, "a", 1);
    const { upstream } = bed.pools.find("u2")!;
    bed.cluster.putUpstream({ ...upstream, startedAtMs: 2 });
    assert.ok(bed.pools.find("u2")!.failures.computeReadiness(bed.clock.now()) <= 0.1);
    assert.ok(!readByExpectedLoad(bed, "b", 20).includes("u2"));
    bed.clock.advance(3_000);
    assert.ok(readByExpectedLoad(bed, "c", 40).filter(id => id === "u2").length >= 10);
});
