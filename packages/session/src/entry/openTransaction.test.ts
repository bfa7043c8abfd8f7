import { Task } from "@vanillarouter/base/task";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ErrorKind } from "../model/errorKind";
import { Freshness } from "../model/freshness";
import { StatementKind } from "../model/statementKind";
import { TestBed } from "../testing/testBed";
import { CallerRequest } from "./callerRequest";
import { OpenTransaction } from "./openTransaction";

function createTransaction(bed: TestBed): OpenTransaction {
    bed.group.primaryTracker.recordPrimary("u1", 1);
    return OpenTransaction.create(bed.context, bed.group, bed.createRequest(Freshness.Latest, false));
}

// Guards against reporting a commit as rolled back although it may have taken effect: only its response was lost.
test("a commit whose response was lost has an unknown outcome if the transaction wrote", () => {
    const bed = TestBed.create();
    const transaction = createTransaction(bed);
    assert.equal(bed.run(transaction.runStatement(bed.createStatement("s1", StatementKind.Write, "WRITE a 1"))).error, undefined);
    bed.fakeGroup.find("u1").losesResponses = true;
    const outcome = bed.run(transaction.commit(bed.createStatement("s2", StatementKind.Commit, "COMMIT")));
    assert.equal(outcome.error, ErrorKind.UnknownOutcome);
});

// Guards against "rolled back" for a commit that the upstream answered with an error that does not say whether it ran.
test("a commit that is answered with an unknown error has an unknown outcome if the transaction wrote", () => {
    for (
        const [error, expected] of [[ErrorKind.UnknownOutcome, ErrorKind.UnknownOutcome], [ErrorKind.Other, ErrorKind.UnknownOutcome], [
            ErrorKind.ReadOnly,
            ErrorKind.Aborted,
        ]] as const
    ) {
        const bed = TestBed.create();
        const transaction = createTransaction(bed);
        bed.run(transaction.runStatement(bed.createStatement("s1", StatementKind.Write, "WRITE a 1")));
        bed.fakeGroup.find("u1").nextErrors = [error];
        assert.equal(bed.run(transaction.commit(bed.createStatement("s2", StatementKind.Commit, "COMMIT"))).error, expected);
    }
});

// Guards against an unclear outcome before COMMIT: the caller can repeat the transaction, because it was certainly rolled back.
test("a transaction that lost its connection before COMMIT is reported as rolled back", () => {
    const bed = TestBed.create();
    const transaction = createTransaction(bed);
    bed.run(transaction.runStatement(bed.createStatement("s1", StatementKind.Write, "WRITE a 1")));
    bed.fakeGroup.find("u1").losesResponses = true;
    const outcome = bed.run(transaction.runStatement(bed.createStatement("s2", StatementKind.Write, "WRITE b 1")));
    assert.equal(outcome.error, ErrorKind.Aborted);
    assert.equal(bed.fakeGroup.find("u1").log.length, 0);
});

// Guards against statements that join another caller's transaction: a connection is reused only after its transaction has ended.
test("statements of another caller never run inside an open transaction", () => {
    const bed = TestBed.create();
    const transaction = createTransaction(bed);
    bed.run(transaction.runStatement(bed.createStatement("s1", StatementKind.Write, "WRITE a 1")));
    const outcome = bed.run(bed.runner.run(bed.group, bed.createRequest(Freshness.Latest, false), bed.createStatement("w1", StatementKind.Write, "WRITE b 1")));
    assert.equal(outcome.error, undefined);
    transaction.rollBack();
    for (let step = 0; step < 20; step++) bed.clock.advance(1);
    assert.deepEqual(bed.fakeGroup.find("u1").log.map(entry => entry.id), ["w1"]);
});

// Guards against a connection that stays in the transaction of a caller that has left, or gets the response to its last statement.
test("a caller that leaves during a statement leaves no transaction open and no connection in doubt", () => {
    const cases = [false, true].flatMap(hasBegun => [1, 2, 4, 6, 20].map(leavesAfterMs => ({ hasBegun, leavesAfterMs })));
    for (const { hasBegun, leavesAfterMs } of cases) {
        const bed = TestBed.create();
        // The first command on a connection sets this value.
        bed.session.values.set("mode", "fast");
        const transaction = createTransaction(bed);
        if (hasBegun) bed.run(transaction.runStatement(bed.createStatement("s1", StatementKind.Write, "WRITE a 1")));
        bed.fakeGroup.find("u1").executionMs = 50;
        const task = Task.start(transaction.runStatement(bed.createStatement("s2", StatementKind.Write, "WRITE b 1")));
        for (let step = 0; step < leavesAfterMs; step++) bed.clock.advance(1);
        task.cancel();
        transaction.rollBack();
        for (let step = 0; step < 500; step++) bed.clock.advance(1);
        bed.fakeGroup.find("u1").executionMs = 0;
        const write = bed.createStatement("w1", StatementKind.Write, "WRITE c 1");
        assert.equal(bed.run(bed.runner.run(bed.group, bed.createRequest(Freshness.Latest, false), write)).receipt, "u1/w1");
        assert.deepEqual(bed.fakeGroup.find("u1").log.map(entry => entry.id), ["w1"]);
    }
});

// Guards against a primary that is suspected, and a VM that counts as isolated, because of a flood: an upstream without slots is no upstream without responses.
test("a transaction that gets no slot is rolled back and says nothing about the primary", () => {
    const bed = TestBed.create();
    const transaction = createTransaction(bed);
    bed.run(transaction.runStatement(bed.createStatement("s1", StatementKind.Write, "WRITE a 1")));
    bed.fakeGroup.find("u1").executionMs = 5_000;
    const blocking = [1, 2, 3, 4].map(index =>
        Task.start(bed.runner.run(bed.group, bed.createRequest(Freshness.Latest, false), bed.createStatement(`b${index}`, StatementKind.Write, "WRITE b 1")))
    );
    for (let step = 0; step < 10; step++) bed.clock.advance(1);
    const pool = bed.pools.find("u1")!;
    const failuresBefore = pool.consecutiveFailures;
    const outcome = bed.run(pool.continueTransaction({
        session: bed.session,
        workClass: bed.createRequest(Freshness.Latest, false).workClass,
        receivedAt: bed.clock.now(),
        deadline: bed.clock.now() + 1,
        waitDeadline: bed.clock.now() + 1,
    }, function*() {}));
    assert.equal(outcome.err && outcome.val, ErrorKind.Busy);
    assert.equal(pool.consecutiveFailures, failuresBefore);
    for (const task of blocking) task.cancel();
});

// Guards against an EXEC under the caller's own name, which another session's statement may have on the connection.
test("an EXEC whose definition is not known is not sent", () => {
    const bed = TestBed.create();
    const transaction = createTransaction(bed);
    const statement = { ...bed.createStatement("s1", StatementKind.Execute, "EXEC p1 a"), name: "p1" };
    assert.equal(bed.run(transaction.runStatement(statement)).error, ErrorKind.Aborted);
    assert.deepEqual(bed.fakeGroup.servers.flatMap(server => server.executedIds), []);
});

// Guards against transactions that count as single statements: idle ones of a tenant would refuse its statements.
test("idle transactions of a tenant leave its single statements connections", () => {
    const bed = TestBed.create();
    bed.useTenants(["a"], 16);
    bed.group.primaryTracker.recordPrimary("u1", 1);
    const createTenantRequest = (): CallerRequest => ({ ...bed.createRequest(Freshness.Latest, false), tenant: "a" });
    const transactions = Array.from({ length: 20 }, () => OpenTransaction.create(bed.context, bed.group, createTenantRequest()));
    const begun = transactions.map((transaction, index) =>
        Task.start(transaction.runStatement(bed.createStatement(`s${index}`, StatementKind.Write, "WRITE a 1")))
    );
    for (let elapsedMs = 0; elapsedMs < 2_000; elapsedMs++) bed.clock.advance(1);
    assert.ok(begun.every(task => task.isSettled));
    assert.ok(bed.fakeGroup.find("u1").sessions.size >= 4);
    const statement = bed.createStatement("w", StatementKind.Write, "WRITE a 2");
    assert.equal(bed.run(bed.runner.run(bed.group, createTenantRequest(), statement)).error, undefined);
});
