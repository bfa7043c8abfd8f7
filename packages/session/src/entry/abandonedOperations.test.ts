import { Task } from "@vanillarouter/base/task";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ErrorKind } from "../model/errorKind";
import { Freshness } from "../model/freshness";
import { StatementKind } from "../model/statementKind";
import { FakeCallerChannel } from "../testing/fakeCallerChannel";
import { TestBed } from "../testing/testBed";
import { Abandonment } from "./abandonment";
import { CallerSession } from "./callerSession";
import { ExecutorSelector } from "./executorSelector";
import { LocalExecutor } from "./localExecutor";
import { OpenTransaction } from "./openTransaction";
import { Shutdown } from "./shutdown";
import { StatementOutcome } from "./statementOutcome";
import { UnlimitedAdmission } from "./unlimitedAdmission";

/** The upstreams of the test bed have 2 slots. */
const slots = 2;
const executionMs = 50;

function createBed(): TestBed {
    const bed = TestBed.create();
    bed.group.primaryTracker.recordPrimary("u1", 1);
    bed.fakeGroup.find("u1").executionMs = executionMs;
    return bed;
}

function advance(bed: TestBed, ms: number): void {
    for (let step = 0; step < ms; step++) bed.clock.advance(1);
}

/** Starts a write whose caller can leave, and keeps its outcome. */
function startWrite(bed: TestBed, id: string): { readonly abandonment: Abandonment; outcome: StatementOutcome | undefined; } {
    const write: ReturnType<typeof startWrite> = { abandonment: Abandonment.create(), outcome: undefined };
    const req = { ...bed.createRequest(Freshness.Latest, false), abandonment: write.abandonment };
    const task = Task.start(bed.runner.run(bed.group, req, bed.createStatement(id, StatementKind.Write, `WRITE ${id} 1`)));
    task.onSettled(() => task.deliver(outcome => write.outcome = outcome, err => assert.fail(String(err))));
    return write;
}

function countFreeSlots(bed: TestBed): number {
    const { running, waiting } = bed.pools.find("u1")!.slots.use;
    return slots - running - waiting;
}

// Guards against work that is sent for callers that have left, against places that such work keeps, and against sent writes that are cut off.
test("a write that waits when its caller leaves is dropped at once, and one that has been sent runs to its end", () => {
    const bed = createBed();
    const sent = [startWrite(bed, "w0"), startWrite(bed, "w1")];
    advance(bed, 20);
    const [waiting, next] = [startWrite(bed, "w2"), startWrite(bed, "w3")];
    for (const { abandonment } of [...sent, waiting]) abandonment.abandon();
    assert.equal(waiting.outcome?.error, ErrorKind.Busy);
    assert.match(waiting.outcome.text, /vr-1830/);
    assert.ok(sent.every(write => write.outcome === undefined));
    advance(bed, 300);
    assert.deepEqual(bed.fakeGroup.find("u1").executedIds, ["w0", "w1", "w3"]);
    assert.ok([...sent, next].every(write => write.outcome!.error === undefined));
    assert.equal(countFreeSlots(bed), slots);
});

// Guards against writes that run although they are reported as not run, run twice, or keep a slot or connection, whenever their callers leave.
test("whenever callers leave, a write runs once if it was answered, never if it was dropped, and all slots are free afterwards", () => {
    const leaving = fc.array(fc.record({ startMs: fc.integer({ min: 0, max: 200 }), leaveMs: fc.integer({ min: 0, max: 120 }) }), { maxLength: 30 });
    fc.assert(
        fc.property(leaving, steps => {
            const bed = createBed();
            const writes = new Map<number, ReturnType<typeof startWrite>>();
            for (let now = 0; now < 1_600; now++) {
                for (const [index, { startMs, leaveMs }] of steps.entries()) {
                    if (now === startMs) writes.set(index, startWrite(bed, `w${index}`));
                    if (now === startMs + leaveMs) writes.get(index)!.abandonment.abandon();
                }
                bed.clock.advance(1);
            }
            for (const [index, { outcome }] of writes) {
                const runs = bed.fakeGroup.find("u1").executedIds.filter(id => id === `w${index}`).length;
                assert.equal(runs, outcome!.error === undefined ? 1 : 0, `w${index}: ${outcome!.error} after ${runs} runs`);
            }
            assert.equal(countFreeSlots(bed), slots);
            const pool = bed.pools.find("u1")!;
            pool.closeIdle(0, 0, false);
            assert.equal(pool.connectionCount, 0, "a connection was not returned");
        }),
        { seed: 20261206, numRuns: 100 },
    );
});

// Guards against a COMMIT that is sent, or a transaction that stays open, after its caller has left.
test("a commit that waits when its caller leaves is not sent, and its transaction is rolled back", () => {
    const bed = createBed();
    const abandonment = Abandonment.create();
    const transaction = OpenTransaction.create(bed.context, bed.group, { ...bed.createRequest(Freshness.Latest, false), abandonment });
    bed.run(transaction.runStatement(bed.createStatement("t1", StatementKind.Write, "WRITE a 1")));
    for (const id of ["w0", "w1"]) startWrite(bed, id);
    advance(bed, 10);
    let outcome: StatementOutcome | undefined;
    const task = Task.start(transaction.commit(bed.createStatement("t2", StatementKind.Commit, "COMMIT")));
    task.onSettled(() => task.deliver(result => outcome = result, err => assert.fail(String(err))));
    abandonment.abandon();
    assert.equal(outcome?.error, ErrorKind.Aborted);
    advance(bed, 300);
    assert.deepEqual(bed.fakeGroup.find("u1").executedIds.filter(id => id.startsWith("t")), ["t1"]);
    assert.equal(countFreeSlots(bed), slots);
});

// Guards against a session that goes on with statements of a caller that has closed its connection, and against a change where the settings do not ask for it.
test("where the settings ask for it, a session drops what waits when its caller closes the connection, and statements sent ahead", () => {
    for (const dropsAbandonedWork of [true, false]) {
        const bed = createBed();
        const { workClass } = bed.createRequest(Freshness.Latest, false);
        bed.cluster.applyConfiguration({ version: 1, classes: new Map([["db", workClass]]), services: new Map(), transactionIdleMs: 0 });
        const local = LocalExecutor.create(bed.context, bed.groups);
        const context = {
            ...bed.context,
            cluster: bed.cluster,
            executors: { select: () => local } as unknown as ExecutorSelector,
            shutdown: Shutdown.create(bed.clock),
            admission: UnlimitedAdmission.create(),
            dropsAbandonedWork,
        };
        for (const id of ["w0", "w1"]) startWrite(bed, id);
        advance(bed, 10);
        const channel = FakeCallerChannel.create();
        const session = Task.start(CallerSession.create(channel, context).run());
        for (const id of ["s1", "s2"]) channel.sendStatement(bed.createStatement(id, StatementKind.Write, `WRITE ${id} 1`));
        advance(bed, 10);
        channel.close();
        assert.equal(session.isSettled, dropsAbandonedWork);
        advance(bed, 500);
        const executed = bed.fakeGroup.find("u1").executedIds;
        assert.deepEqual(executed, dropsAbandonedWork ? ["w0", "w1"] : ["w0", "w1", "s1", "s2"]);
        const counted = bed.context.metrics.counters.valuesByName.get("vanillarouter_abandoned_total");
        assert.deepEqual([...counted ?? []], dropsAbandonedWork ? [["class=\"db\",outcome=\"busy\"", 1]] : []);
    }
});
