import { Operation } from "@vanillarouter/base/operation";
import { sleep } from "@vanillarouter/base/sleep";
import { Task } from "@vanillarouter/base/task";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Result } from "ts-results";
import { SessionValues } from "../entry/sessionValues";
import { CommandKind } from "../model/commandKind";
import { ErrorKind } from "../model/errorKind";
import { Freshness } from "../model/freshness";
import { StatementKind } from "../model/statementKind";
import { FakeExecution } from "../testing/fakeExecution";
import { TestBed } from "../testing/testBed";
import { UpstreamConnection } from "./upstreamConnection";

const seed = 20261206;
const limit = 16;
const tenants = ["a", "b", "c", "d", "e"];

/** One pool of 16 connections for tenants, whose upstream refuses statements of other tenants than the connection's. */
class PoolBed {
    public readonly bed = TestBed.create();
    public readonly pool;
    public readonly server = this.bed.fakeGroup.find("u1");
    public readonly held: UpstreamConnection[] = [];
    private nextId = 0;

    private constructor() {
        this.bed.useTenants(tenants, limit);
        this.pool = this.bed.pools.find("u1")!;
    }

    public static create(): PoolBed {
        return new PoolBed();
    }

    /** Runs a statement, and keeps its connection if `isHeld`. */
    public *run(tenant: string | undefined, isHeld = false, holdMs = 0, opensTransaction = false): Operation<Result<ErrorKind | undefined, ErrorKind>> {
        const id = `s${this.nextId++}`;
        this.server.tenantsById.set(id, tenant);
        const request = { ...this.bed.createSlotRequest(tenant), opensTransaction };
        return yield* this.pool.run(request, connection => this.runOn(connection, id, isHeld, holdMs));
    }

    /** Starts statements of one tenant that keep their connections, or transactions that stay open. */
    public startHeld(tenant: string, count: number, opensTransaction = false): readonly Task<Result<ErrorKind | undefined, ErrorKind>>[] {
        const started = Array.from({ length: count }, () => Task.start(this.run(tenant, true, 0, opensTransaction)));
        this.advance(100);
        return started;
    }

    public advance(ms: number): void {
        for (let elapsedMs = 0; elapsedMs < ms; elapsedMs++) this.bed.clock.advance(1);
    }

    private *runOn(connection: UpstreamConnection, id: string, isHeld: boolean, holdMs: number): Operation<ErrorKind | undefined> {
        const response = yield* connection.run({ kind: CommandKind.Forward, id, text: "READ k" }, 200);
        if (holdMs > 0) yield* sleep(this.bed.clock, holdMs);
        if (response === undefined) this.pool.discard(connection);
        else if (isHeld) this.held.push(connection);
        else this.pool.returnConnection(connection);
        return response === undefined ? ErrorKind.UnknownOutcome : response.error;
    }
}

// Guards against a caller that sees another one's values or prepared statements on a connection that both have used.
test("a connection that is used again by a caller of the same tenant carries nothing of the first one", () => {
    const { bed, server } = PoolBed.create();
    bed.group.primaryTracker.recordPrimary("u1", 1);
    const executions: FakeExecution[] = [];
    server.onExecuted = execution => executions.push(execution);
    const first = SessionValues.create();
    first.values.set("role", "auditor");
    first.prepared.set("mine", { shape: "WRITE k", readOnly: false });
    const run = (session: SessionValues, kind: StatementKind, name: string): ErrorKind | undefined => {
        const req = { ...bed.createRequest(Freshness.Latest, false), session, tenant: "a" };
        const text = kind === StatementKind.Execute ? `EXEC ${name} k 1` : "WRITE k 2";
        return bed.run(bed.runner.run(bed.group, req, { ...bed.createStatement(text, kind, text), name })).error;
    };
    assert.equal(run(first, StatementKind.Execute, "mine"), undefined);
    assert.equal(run(SessionValues.create(), StatementKind.Write, ""), undefined);
    assert.equal(server.sessions.size, 1);
    assert.deepEqual(executions.map(({ values }) => [...values]), [[["role", "auditor"]], []]);
    for (const name of ["mine", "p1"]) assert.equal(run(SessionValues.create(), StatementKind.Execute, name), ErrorKind.Busy);
    assert.equal(executions.length, 2);
});

// Guards against idle transactions of one tenant that take all connections, or whose successors hold the slots while they wait.
test("120 idle transactions of one tenant leave connections and slots for the others, and for its own statements", () => {
    const poolBed = PoolBed.create();
    const transactions = poolBed.startHeld("a", 120, true);
    const heldCount = poolBed.held.length;
    assert.ok(heldCount >= limit / 4 && heldCount < limit / 2);
    for (const tenant of ["a", "b", "c", "d", undefined]) {
        const startedAt = poolBed.bed.clock.now();
        assert.ok(poolBed.bed.run(poolBed.run(tenant)).ok);
        assert.ok(poolBed.bed.clock.now() - startedAt <= 20, `${poolBed.bed.clock.now() - startedAt} ms`);
    }
    poolBed.pool.returnConnection(poolBed.held[0]!);
    poolBed.advance(20);
    assert.equal(poolBed.held.length, heldCount + 1, "the first waiting transaction got the returned connection");
    poolBed.advance(500);
    assert.ok(transactions.every(transaction => transaction.isSettled), "the others were refused at their deadline");
});

// Guards against statements that find no connection because transactions of many tenants hold all of them.
test("idle transactions of all tenants leave connections for statements, and one tenant's statements leave half of them", () => {
    const poolBed = PoolBed.create();
    for (const tenant of tenants) poolBed.startHeld(tenant, 24, true);
    for (const tenant of tenants) assert.ok(poolBed.bed.run(poolBed.run(tenant)).ok);
    poolBed.advance(500);
    for (const connection of poolBed.held.splice(0)) poolBed.pool.returnConnection(connection);
    poolBed.startHeld("a", limit);
    assert.equal(poolBed.held.length, limit / 2);
});

// Guards against failovers that are not decided because tenants hold all connections, here and at the upstream.
test("status commands run while tenants hold every connection that they may", () => {
    const poolBed = PoolBed.create();
    const { bed, pool, server } = poolBed;
    for (const tenant of ["a", "b", "c"]) poolBed.startHeld(tenant, limit);
    assert.equal(poolBed.held.length, limit - 1);
    server.maxConnections = limit;
    assert.notEqual(bed.run(pool.runControl(CommandKind.Status, 300)), undefined);
    for (const transaction of poolBed.startHeld("d", 2)) assert.ok(!transaction.isSettled);
    assert.notEqual(bed.run(pool.runControl(CommandKind.Status, 300)), undefined, "the connection without a tenant was kept");
    assert.equal(server.sessions.size, limit);
});

// Guards against status commands that fail because other VMs hold the rest of the upstream's connections.
test("a status command that the upstream refuses a connection for takes the next one that is returned, before statements", () => {
    const poolBed = PoolBed.create();
    const { bed, pool, server } = poolBed;
    poolBed.startHeld("a", 4);
    server.maxConnections = 4;
    const waiting = Task.start(poolBed.run("b"));
    const status = Task.start(pool.runControl(CommandKind.Status, 400));
    poolBed.advance(50);
    assert.ok(!status.isSettled);
    pool.returnConnection(poolBed.held[0]!);
    poolBed.advance(5);
    assert.ok(status.isSettled && pool.isReachable);
    assert.notEqual(bed.run(status.join()), undefined);
    assert.ok(bed.run(waiting.join()).ok);
});

// Guards against overloads in which each operation closes a connection that waiting work needs, and against tenants that never get one.
test("while connections are short, one serves several operations of its tenant before another tenant gets it", () => {
    const poolBed = PoolBed.create();
    for (const tenant of ["c", "d"]) poolBed.startHeld(tenant, 7);
    const { dialCount } = poolBed.bed.dialer;
    const tasks = Array.from({ length: 40 }, (_, index) => Task.start(poolBed.run(index % 2 === 0 ? "a" : "b", false, 5)));
    poolBed.advance(490);
    assert.ok(tasks.every(task => task.isSettled && poolBed.bed.run(task.join()).ok));
    assert.ok(poolBed.bed.dialer.dialCount - dialCount <= 6, `${poolBed.bed.dialer.dialCount - dialCount} connections opened`);
});

// Guards against tenants that get no connection because others keep idle ones at an upstream whose connections are used up.
test("an upstream that answers TooManyConnections still serves all tenants in turn", () => {
    const poolBed = PoolBed.create();
    poolBed.server.maxConnections = 3;
    for (const tenant of [...tenants, ...tenants]) assert.ok(poolBed.bed.run(poolBed.run(tenant)).ok, tenant);
    assert.ok(poolBed.server.sessions.size <= 3);
});

// Guards against paying for connections again: those without a tenant are closed when idle, those of tenants only on VMs that are no gateways.
test("connections of tenants stay open when idle, and end with the tenants or the gateway", () => {
    const poolBed = PoolBed.create();
    for (const tenant of tenants) poolBed.bed.run(poolBed.run(tenant));
    poolBed.advance(60_000);
    poolBed.bed.pools.closeUnused(4_000);
    assert.equal(poolBed.pool.connectionCount, tenants.length);
    assert.equal(poolBed.pool.computeConnectionCostMs("a"), 0);
    assert.ok(poolBed.pool.computeConnectionCostMs("z") > 0);
    poolBed.bed.useTenants(tenants, 3);
    poolBed.bed.pools.closeUnused(4_000);
    assert.equal(poolBed.pool.connectionCount, 3, "a lower limit closes what is over it");
    poolBed.bed.cluster.applyConfiguration({ ...poolBed.bed.cluster.configuration!, version: 3, tenants: undefined });
    poolBed.bed.pools.closeUnused(4_000);
    assert.equal(poolBed.pool.connectionCount, 0);
});

const stepArbitrary = fc.record({
    kind: fc.constantFrom("run", "run", "run", "hold", "begin", "release", "drop", "status", "limit", "clean", "refuse", "leave"),
    tenant: fc.constantFrom(undefined, ...tenants),
    count: fc.integer({ min: 1, max: 6 }),
    pauseMs: fc.integer({ min: 0, max: 40 }),
});

// Guards against a statement that runs with the rights of another tenant, in any order of events.
test("no statement runs on a connection of another tenant, and every one is served or refused in time", () => {
    let statementCount = 0;
    fc.assert(
        fc.property(fc.array(stepArbitrary, { minLength: 10, maxLength: 60 }), steps => {
            const poolBed = PoolBed.create();
            const { bed, pool, server } = poolBed;
            const tasks: Task<unknown>[] = [];
            for (const { kind, tenant, count, pauseMs } of steps) {
                const start = (): Task<unknown> => Task.start(poolBed.run(tenant, kind !== "run", 5 * count, kind === "begin"));
                if (kind === "run" || kind === "hold" || kind === "begin") tasks.push(...Array.from({ length: count }, start));
                else if (kind === "release") poolBed.held.splice(0, count).forEach(connection => pool.returnConnection(connection));
                else if (kind === "drop") poolBed.held.splice(0, count).forEach(connection => connection.link.close());
                else if (kind === "status") tasks.push(Task.start(pool.runControl(CommandKind.Status, 300)));
                else if (kind === "limit") server.maxConnections = 3 * count;
                else if (kind === "leave") tasks.slice(-count).forEach(task => task.cancel());
                else if (kind === "refuse") server.refusesDials = !server.refusesDials;
                else bed.pools.closeUnused(10 * count);
                poolBed.advance(pauseMs);
                assert.ok([...server.sessions].filter(session => session.user !== undefined).length < limit);
            }
            poolBed.advance(1_000);
            assert.ok(tasks.every(task => task.isSettled));
            assert.deepEqual(server.foreignIds, []);
            assert.equal(pool.connectionCount, server.sessions.size);
            server.maxConnections = limit;
            server.refusesDials = false;
            poolBed.advance(300);
            for (const tenant of tenants) {
                for (const connection of poolBed.held.splice(0)) pool.returnConnection(connection);
                assert.ok(poolBed.startHeld(tenant, limit / 2).every(task => task.isSettled), "a part of the tenant's share was lost");
                for (const connection of poolBed.held.splice(0)) pool.returnConnection(connection);
                assert.ok(poolBed.startHeld(tenant, limit * 3 / 8, true).every(task => task.isSettled), "a transaction still counts");
            }
            statementCount += server.executedIds.length;
        }),
        { seed, numRuns: 300 },
    );
    assert.ok(statementCount > 3_000, `${statementCount} statements ran`);
});
