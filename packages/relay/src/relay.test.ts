import { ErrorKind } from "@vanillarouter/session/model/errorKind";
import { StatementKind } from "@vanillarouter/session/model/statementKind";
import { StoreChanges } from "@vanillarouter/session/model/storeChanges";
import { QuotaGrant } from "@vanillarouter/session/quota/quotaGrant";
import { QuotaRequest } from "@vanillarouter/session/quota/quotaRequest";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { once } from "node:events";
import { AddressInfo, connect } from "node:net";
import { test, TestContext } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { describeOperation } from "./describeOperation";
import { RelayLimits } from "./relayLimits";
import { RelayQuotaKeepers } from "./relayQuotaKeepers";
import { relayRequestSchema } from "./relayRequestSchema";
import { RelayTestBed } from "./testing/relayTestBed";

const service = "orders";

async function startBed(context: TestContext, count: number): Promise<RelayTestBed> {
    const bed = await RelayTestBed.create(count);
    context.after(() => bed.close());
    return bed;
}

// Guards against a floor that is not returned to the entry VM: the session's next read would miss its own commit.
test("a relayed statement returns its outcome and raises the session's floor", async context => {
    const bed = await startBed(context, 2);
    bed.session.values.set("mode", "fast");
    const outcome = await bed.run(bed.executor.runStatement(bed.createRequest("a1", false), bed.createStatement("a1", StatementKind.Write)));
    assert.deepEqual(outcome, { rows: ["row of a1"], receipt: "g1/a1", error: undefined, text: "" });
    assert.deepEqual(bed.floors.find(service), { term: 1, position: 1 });
    assert.deepEqual([...bed.find("g1").executor.lastRequest!.session.values], [["mode", "fast"]]);
    await bed.run(bed.executor.runStatement(bed.createRequest("a2", true), bed.createStatement("a2", StatementKind.Read)));
    assert.deepEqual(bed.find("g1").executor.lastRequest!.floors.find(service), { term: 1, position: 1 });
});

// Guards against a gateway that runs an operation on a connection of another tenant because it does not know the operation's own.
test("a gateway gets the tenant of each statement and transaction, and none for callers that are not authenticated", async context => {
    const bed = await startBed(context, 1);
    for (const tenant of ["acme", undefined]) {
        await bed.run(bed.executor.runStatement({ ...bed.createRequest("t1", true), tenant }, bed.createStatement("t1", StatementKind.Read)));
        assert.equal(bed.find("g1").executor.lastRequest!.tenant, tenant);
        const transaction = bed.executor.openTransaction({ ...bed.createRequest("t2", false), tenant });
        await bed.run(transaction.runStatement(bed.createStatement("t3", StatementKind.Write)));
        assert.equal(bed.find("g1").executor.lastRequest!.tenant, tenant);
        await bed.run(transaction.commit(bed.createStatement("t4", StatementKind.Commit)));
    }
});

// Guards against callers that hang on a frozen gateway, and against a write that is sent twice.
test("with a silent gateway a read soon runs on another one, and a write runs nowhere else and is unknown at its timeout", async context => {
    const bed = await startBed(context, 2);
    await bed.run(bed.executor.runStatement(bed.createRequest("b0", true), bed.createStatement("b0", StatementKind.Read)));
    bed.find("g1").isSilent = true;
    const startedAt = bed.clock.now();
    const writeRequest = bed.createRequest("b2", false);
    const writing = bed.run(bed.executor.runStatement(writeRequest, bed.createStatement("b2", StatementKind.Write)));
    const read = await bed.run(bed.executor.runStatement(bed.createRequest("b1", true), bed.createStatement("b1", StatementKind.Read)));
    assert.ok(bed.clock.now() - startedAt < 1_200);
    assert.equal(read.receipt, "g2/b1");
    assert.equal((await writing).error, ErrorKind.UnknownOutcome);
    const writeTimeoutMs = writeRequest.workClass.statementTimeoutMs + RelayLimits.responseMarginMs;
    assert.ok(bed.clock.now() - startedAt < writeTimeoutMs + 100);
    assert.deepEqual(bed.find("g2").executor.executedIds, ["b1"]);
});

// Guards against refusals while another gateway accepts work, and against a gateway that stays excluded after it has recovered.
test("a declined statement runs on another gateway, is refused as not run if all decline it, and a recovered gateway is used again", async context => {
    const bed = await startBed(context, 2);
    bed.find("g1").declines = true;
    const onOtherGateway = await bed.run(bed.executor.runStatement(bed.createRequest("c1", false), bed.createStatement("c1", StatementKind.Write)));
    assert.equal(onOtherGateway.receipt, "g2/c1");
    bed.find("g2").declines = true;
    const refused = await bed.run(bed.executor.runStatement(bed.createRequest("c2", false), bed.createStatement("c2", StatementKind.Write)));
    assert.equal(refused.error, ErrorKind.Busy);
    assert.deepEqual([bed.find("g1").executor.executedIds, bed.find("g2").executor.executedIds], [[], ["c1"]]);
    assert.equal(bed.relayGateways.isCutOff(service), true);
    bed.find("g1").declines = false;
    await wait(900);
    assert.equal(bed.relayGateways.isCutOff(service), false);
    const again = await bed.run(bed.executor.runStatement(bed.createRequest("c3", false), bed.createStatement("c3", StatementKind.Write)));
    assert.equal(again.receipt, "g1/c3");
});

// Guards against giving up work that a gateway still runs: one that is only silent for a moment returns its response afterwards.
test("a gateway that is silent for a second finishes its write and its transaction, and gets no new work meanwhile", async context => {
    const bed = await startBed(context, 2);
    const gateway = bed.find("g1");
    const transaction = bed.executor.openTransaction(bed.createRequest("j0", false));
    await bed.run(transaction.runStatement(bed.createStatement("j1", StatementKind.Write)));
    gateway.executor.isBlocked = true;
    const pending = bed.run(bed.executor.runStatement(bed.createRequest("j2", false), bed.createStatement("j2", StatementKind.Write)));
    await wait(50);
    gateway.isSilent = true;
    await wait(1_000);
    const other = await bed.run(bed.executor.runStatement(bed.createRequest("j3", false), bed.createStatement("j3", StatementKind.Write)));
    assert.equal(other.receipt, "g2/j3");
    gateway.isSilent = false;
    gateway.executor.isBlocked = false;
    gateway.executor.unblocked.notifyAll();
    assert.equal((await pending).receipt, "g1/j2");
    assert.equal(gateway.executor.rollbackCount, 0);
    assert.equal((await bed.run(transaction.commit(bed.createStatement("j4", StatementKind.Commit)))).receipt, "g1/j4");
});

// Guards against reads that wait for a frozen gateway until their timeout although another gateway can run them.
test("a read moves to another gateway when its gateway falls silent", async context => {
    const bed = await startBed(context, 2);
    bed.find("g1").executor.isBlocked = true;
    const pending = bed.run(bed.executor.runStatement(bed.createRequest("k1", true), bed.createStatement("k1", StatementKind.Read)));
    await wait(50);
    bed.find("g1").isSilent = true;
    assert.equal((await pending).receipt, "g2/k1");
});

// Guards against transactions that stay open, with their locks and connection, after the link to their entry VM has closed.
test("a gateway rolls back open transactions when the link to their entry VM closes", async context => {
    const bed = await startBed(context, 1);
    const transaction = bed.executor.openTransaction(bed.createRequest("d0", false));
    assert.equal((await bed.run(transaction.runStatement(bed.createStatement("d1", StatementKind.Write)))).receipt, "g1/d1");
    assert.equal(bed.find("g1").server.openOperations, 1);
    for (const socket of bed.find("g1").sockets) socket.destroy();
    await wait(200);
    assert.equal(bed.find("g1").executor.rollbackCount, 1);
    assert.equal(bed.find("g1").server.openOperations, 0);
});

// Guards against transactions that are rolled back while their caller is idle, and against ones that a frozen entry VM keeps open.
test("a gateway keeps a transaction while its entry VM is alive and rolls it back when that VM is silent", async context => {
    const [alive, silent] = [await startBed(context, 1), await startBed(context, 1)];
    const [aliveTransaction, silentTransaction] = [alive, silent].map(bed => bed.executor.openTransaction(bed.createRequest("h0", false)));
    await Promise.all([
        alive.run(aliveTransaction!.runStatement(alive.createStatement("h1", StatementKind.Write))),
        silent.run(silentTransaction!.runStatement(silent.createStatement("h1", StatementKind.Write))),
    ]);
    silent.find("g1").isSilent = true;
    await wait(RelayLimits.transactionSilenceMs + 1_000);
    assert.equal(silent.find("g1").executor.rollbackCount, 1);
    assert.equal((await alive.run(aliveTransaction!.commit(alive.createStatement("h2", StatementKind.Commit)))).receipt, "g1/h2");
});

// Guards against a ROLLBACK on a connection that still waits for a response: the connection's next user would get that response.
test("a transaction whose link closes during a statement is rolled back after the statement", async context => {
    const bed = await startBed(context, 1);
    const { executor, sockets } = bed.find("g1");
    for (const isFirst of [true, false]) {
        const previousRollbackCount = executor.rollbackCount;
        const transaction = bed.executor.openTransaction(bed.createRequest("i0", false));
        if (!isFirst) await bed.run(transaction.runStatement(bed.createStatement("i1", StatementKind.Write)));
        executor.isBlocked = true;
        const pending = bed.run(transaction.runStatement(bed.createStatement("i2", StatementKind.Write)));
        await wait(50);
        for (const socket of [...sockets]) socket.destroy();
        assert.equal((await pending).error, ErrorKind.Aborted);
        await wait(50);
        assert.equal(executor.rollbackCount, previousRollbackCount);
        executor.isBlocked = false;
        executor.unblocked.notifyAll();
        await wait(50);
        assert.equal(executor.rollbackCount, previousRollbackCount + 1);
        assert.equal(bed.find("g1").server.openOperations, 0);
        await wait(600);
    }
});

// Guards against a false "rolled back": it is certain until COMMIT has been sent, and afterwards only if the transaction wrote nothing.
test("losing the gateway aborts a transaction before COMMIT and leaves the outcome of a COMMIT with writes unknown", async context => {
    for (const [isCommit, expected] of [[false, ErrorKind.Aborted], [true, ErrorKind.UnknownOutcome]] as const) {
        const bed = await startBed(context, 1);
        const transaction = bed.executor.openTransaction(bed.createRequest("e0", false));
        await bed.run(transaction.runStatement(bed.createStatement("e1", StatementKind.Write)));
        bed.find("g1").executor.isBlocked = true;
        const pending = bed.run(
            isCommit
                ? transaction.commit(bed.createStatement("e2", StatementKind.Commit))
                : transaction.runStatement(bed.createStatement("e2", StatementKind.Write)),
        );
        await wait(50);
        bed.kill("g1");
        assert.equal((await pending).error, expected);
    }
});

// Guards against statements that each wait for a failed connection attempt: the first one causes all gateways to be probed.
test("a VM that reaches no gateway detects it with one statement and refuses the next at once", async context => {
    const bed = await startBed(context, 4);
    for (const gateway of bed.gateways) bed.kill(gateway.id);
    await bed.run(bed.executor.runStatement(bed.createRequest("g1", false), bed.createStatement("g1", StatementKind.Write)));
    assert.equal(bed.relayGateways.isCutOff(service), true);
    const startedAt = bed.clock.now();
    const refused = await bed.run(bed.executor.runStatement(bed.createRequest("g2", false), bed.createStatement("g2", StatementKind.Write)));
    assert.equal(refused.error, ErrorKind.Busy);
    assert.ok(bed.clock.now() - startedAt < 20);
});

// Guards against links that are closed because nothing changed for a while, and against text that a Latin-1 connection cannot carry.
test("a long poll outlasts the silence timeout of calls, and transfers text outside Latin-1", async context => {
    const bed = await startBed(context, 1);
    const { changeLog } = bed.find("g1");
    changeLog.reset({ era: 1, revision: 5 });
    const link = (await bed.run(bed.relayGateways.getOrCreate(bed.findMember("g1")).obtainLink()))!;
    const waiting = bed.run(link.poll(6_000, call => ({ kind: "follow", call, era: 1, after: 5, waitMs: 5_000 })));
    await wait(4_000);
    changeLog.append({ changes: [{ key: "k", text: "\u0161tevilo", revision: 6 }], position: { era: 1, revision: 6 } });
    assert.deepEqual(await waiting, { kind: "changes", call: 1, changes: [{ key: "k", text: "\u0161tevilo", revision: 6 }], era: 1, revision: 6 });
});

// Guards against watchers whose link is saturated because they send a large configuration to each follower.
test("a follower is notified of a large item and reads it from the store itself", async context => {
    const bed = await startBed(context, 1);
    const { changeLog } = bed.find("g1");
    const large = "x".repeat(RelayLimits.maxInlineTextLength + 1);
    changeLog.reset({ era: 1, revision: 5 });
    changeLog.append({ changes: [{ key: "large", text: large, revision: 6 }, { key: "small", text: "v", revision: 7 }], position: { era: 1, revision: 7 } });
    const read: string[] = [];
    const follow = (stored: string | undefined): Promise<StoreChanges | undefined> =>
        bed.run(
            bed.createFollower(function*(key) {
                read.push(key);
                return stored === undefined ? undefined : { key, text: stored, revision: 8 };
            }).follow({ era: 1, revision: 5 }),
        );
    assert.deepEqual(await follow("new"), {
        changes: [{ key: "large", text: "new", revision: 8 }, { key: "small", text: "v", revision: 7 }],
        position: { era: 1, revision: 7 },
    });
    assert.deepEqual(read, ["large"]);
    assert.equal(await follow(undefined), undefined);
});

// Guards against followers that get a change late because their watcher is slow, or cut off from the store without knowing it.
test("a follower gets a change from a second watcher while the first one knows of none", async context => {
    const bed = await startBed(context, 2);
    for (const id of ["g1", "g2"]) bed.find(id).changeLog.reset({ era: 1, revision: 5 });
    const waiting = bed.run(bed.createFollower(() => assert.fail("no item is large")).follow({ era: 1, revision: 5 }));
    const position = { era: 1, revision: 6 };
    bed.find("g2").changeLog.append({ changes: [{ key: "k", text: "v", revision: 6 }], position });
    const maxDelayMs = 3_000;
    const changes = await Promise.race([waiting, wait(maxDelayMs)]);
    assert.deepEqual(changes, { changes: [{ key: "k", text: "v", revision: 6 }], position });
});

// Guards against a withdrawn key that a VM serves while the store rejects it: others have the configuration without the key.
test("a VM that the store rejects gets a newer configuration of any size from one of the others", async context => {
    const bed = await startBed(context, 4);
    const configuration = { key: "c", text: "x".repeat(RelayLimits.maxInlineTextLength + 1), revision: 9 };
    bed.find("g3").configuration = configuration;
    bed.find("g1").isSilent = true;
    const follower = bed.createFollower(() => assert.fail("nothing is read from the store"));
    const fetched = [];
    for (let attempt = 0; attempt < 2; attempt++) fetched.push(await bed.run(follower.fetchConfiguration({ era: 1, revision: 8 })));
    assert.deepEqual(fetched.filter(change => change !== undefined), [configuration]);
    for (let attempt = 0; attempt < 2; attempt++) assert.equal(await bed.run(follower.fetchConfiguration({ era: 1, revision: 9 })), undefined);
});

// Guards against a message that stops a gateway: whatever arrives on one link, the other links are served.
test("messages that no VM sends end at most their own link", async context => {
    const bed = await startBed(context, 1);
    const { port } = bed.find("g1").listener.address() as AddressInfo;
    const message = fc.oneof(
        fc.string(),
        fc.json(),
        fc.record({
            kind: fc.constantFrom("run", "transact", "check", "follow", "roll-back"),
            call: fc.anything(),
            transaction: fc.anything(),
            service: fc.anything(),
        }).map(value => JSON.stringify(value)),
    );
    await fc.assert(
        fc.asyncProperty(fc.array(message, { maxLength: 5 }), async messages => {
            const socket = connect({ host: "127.0.0.1", port });
            socket.on("error", () => socket.destroy());
            for (const text of messages) socket.write(`${text}\r\n`);
            await wait(2);
            socket.destroy();
            const id = "m1";
            const outcome = await bed.run(bed.executor.runStatement(bed.createRequest(id, true), bed.createStatement(id, StatementKind.Read)));
            assert.equal(outcome.receipt, "g1/m1");
        }),
        { seed: 20261204, numRuns: 100 },
    );
});

// Guards against a line break in a relayed field: what follows it would reach the upstream as another statement.
test("a relayed field with a line break, or a log position that is no count, is rejected", async context => {
    const bed = await startBed(context, 1);
    const { port } = bed.find("g1").listener.address() as AddressInfo;
    const req = bed.createRequest("s1", false);
    const valid = { kind: "run", call: 1, ...describeOperation(req, bed.createStatement("s1", StatementKind.Write), bed.clock.now()) };
    assert.ok(relayRequestSchema.safeParse(valid).success);
    const { operation, statement } = valid;
    const faults = [
        { statement: { ...statement, text: "WRITE a 1\r\nQUERY s2 COMMIT" } },
        { statement: { ...statement, id: "s1 COMMIT" } },
        { session: { values: [["a\r\n", "1"]] } },
        { session: { values: [], prepared: { shape: "q\r\nQUERY s2 COMMIT", readOnly: true } } },
        { operation: { ...operation, floor: { term: 1, position: 1e300 } } },
        { operation: { ...operation, waitedMs: -1 } },
    ];
    for (const fault of faults) {
        const socket = connect({ host: "127.0.0.1", port });
        socket.write(`${JSON.stringify({ ...valid, ...fault })}\r\n`);
        await once(socket, "close");
    }
    assert.deepEqual(bed.find("g1").executor.executedIds, []);
});

// Guards against responses that reach the wrong caller when many calls share one link.
test("concurrent calls get their own responses", async context => {
    const bed = await startBed(context, 1);
    const ids = Array.from({ length: 50 }, (_, index) => `f${index}`);
    const outcomes = await Promise.all(
        ids.map(id => bed.run(bed.executor.runStatement(bed.createRequest(id, true), bed.createStatement(id, StatementKind.Read)))),
    );
    assert.deepEqual(outcomes.map(outcome => outcome.rows[0]), ids.map(id => `row of ${id}`));
});

// Guards against tokens that are granted without a valid request: a wrong field must end the link, and a keeper that is gone grants nothing.
test("a keeper grants tokens over a link, and this VM grants its own without one", async context => {
    const bed = await startBed(context, 1);
    const granted: string[] = [];
    const grantTokens = (name: string) => ({ tenant, part, count }: QuotaRequest): QuotaGrant => {
        granted.push(`${name} ${tenant} ${part} ${count}`);
        return { count: count - 1, retryMs: 40 };
    };
    bed.find("g1").grantTokens = grantTokens("g1");
    const keepers = RelayQuotaKeepers.create("entry", bed.relayGateways, grantTokens("entry"));
    const request = { tenant: "t", part: 7, count: 1_000 };
    assert.deepEqual(await bed.run(keepers.ask({ ...bed.findMember("g1"), id: "entry" }, request)), { count: 999, retryMs: 40 });
    assert.equal(bed.relayGateways.getOrCreate(bed.findMember("g1")).isLinked, false);
    assert.deepEqual(await bed.run(keepers.ask(bed.findMember("g1"), request)), { count: 999, retryMs: 40 });
    assert.deepEqual(granted, ["entry t 7 1000", "g1 t 7 1000"]);
    const oddFields = [{ count: 0 }, { count: 1_001 }, { count: 1.5 }, { part: 8 }, { part: -1 }];
    for (const fields of oddFields) {
        assert.equal(await bed.run(keepers.ask(bed.findMember("g1"), { ...request, ...fields })), undefined, JSON.stringify(fields));
    }
    assert.equal(granted.length, 2);
    bed.find("g1").grantTokens = () => ({ count: 1, retryMs: -1 });
    assert.equal(await bed.run(keepers.ask(bed.findMember("g1"), request)), undefined);
    const link = await bed.run(bed.relayGateways.getOrCreate(bed.findMember("g1")).obtainLink());
    assert.equal(await bed.run(keepers.ask(bed.findMember("g1"), { ...request, tenant: "a".repeat(257) })), undefined);
    assert.equal(link?.isOpen, true);
    bed.kill("g1");
    assert.equal(await bed.run(keepers.ask(bed.findMember("g1"), request)), undefined);
});
