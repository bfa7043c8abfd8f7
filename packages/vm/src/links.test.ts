import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { Rank } from "@vanillarouter/base/rank";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { sleep } from "@vanillarouter/base/sleep";
import { SystemClock } from "@vanillarouter/base/systemClock";
import { Task } from "@vanillarouter/base/task";
import { VmDescription } from "@vanillarouter/base/vmDescription";
import { Diagnostics as RoutingDiagnostics } from "@vanillarouter/routing/diagnostics";
import { StatementKind } from "@vanillarouter/routing/entry/statementKind";
import { OwnerLink } from "@vanillarouter/routing/owner/ownerLink";
import { OwnerRequest } from "@vanillarouter/routing/owner/ownerRequest";
import { OwnerResponse } from "@vanillarouter/routing/owner/ownerResponse";
import { Diagnostics as SchedulingDiagnostics } from "@vanillarouter/scheduling/diagnostics";
import * as assert from "node:assert/strict";
import { AddressInfo, connect, createServer, Server, Socket } from "node:net";
import { test } from "node:test";
import { Err, Ok, Result } from "ts-results";
import { Diagnostics } from "./diagnostics";
import { LinkPool } from "./linkPool";
import { LinkServer } from "./linkServer";
import { PeerServices } from "./peerServices";
import { createTestCertificates } from "./testing/createTestCertificates";
import { TlsSettings } from "./tlsSettings";

const clock = SystemClock.create();
const tls = createTestCertificates();
const load = { upstream: "u1", queueDelayMs: 0, applied: { term: 1, position: 1 } };

function run<T>(operation: Operation<T>): Promise<T> {
    return Task.start(operation).toPromise();
}

/** An owner that records the requests it executes. The statement `wait N` takes N milliseconds; `refuse` fails. */
class RecordingOwner implements Partial<OwnerLink> {
    public readonly executed: string[] = [];
    public readonly rolledBack: string[] = [];

    private constructor() {}

    public static create(): RecordingOwner {
        return new RecordingOwner();
    }

    public *execute(req: OwnerRequest): Operation<Result<OwnerResponse, Failure>> {
        this.executed.push(req.requestId);
        if (req.sql.startsWith("wait ")) yield* sleep(clock, Number(req.sql.slice(5)));
        if (req.sql === "refuse") return Err(createFailure(SchedulingDiagnostics.shareExceeded, RunOutcome.DidNotRun, req.className));
        const columns = [{ name: "a", type: 253, flags: 0, length: 1, characterSet: 33 }];
        const result = { columns, rows: [[req.sql, undefined]], affectedRows: 0, insertId: 0, info: "" };
        return Ok({ requestId: req.requestId, result, at: { term: 1, position: 1 }, load });
    }

    public *begin(): Operation<Result<void, Failure>> {
        return Ok.EMPTY;
    }

    public *endTransaction(req: { readonly transactionId: string; readonly commit: boolean; }): Operation<Result<OwnerResponse, Failure>> {
        if (!req.commit) this.rolledBack.push(req.transactionId);
        return Err(createFailure(RoutingDiagnostics.transactionLost, RunOutcome.DidNotRun, req.transactionId, "u1"));
    }
}

function createRequest(requestId: string, sql: string, kind: OwnerRequest["kind"], timeoutMs = 2_000): OwnerRequest {
    return { requestId, upstream: "u1", group: "g1", className: "orders", rank: Rank.Urgent, franchisee: "f1", kind, sql, timeoutMs, repeatable: false };
}

/** A TCP proxy that can stop forwarding, like a network device that has lost the state of a connection. */
class TcpProxy {
    public silent = false;
    private readonly sockets = new Set<Socket>();

    private constructor(private readonly server: Server) {}

    public static async create(targetPort: number): Promise<TcpProxy> {
        const server = createServer();
        const tcpProxy = new TcpProxy(server);
        server.on("connection", client => tcpProxy.forward(client, connect(targetPort, "127.0.0.1")));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return tcpProxy;
    }

    public get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    public close(): void {
        for (const socket of this.sockets) socket.destroy();
        this.server.close();
    }

    private forward(client: Socket, target: Socket): void {
        // Only connections opened before the proxy became silent are affected.
        const openedWhileSilent = this.silent;
        for (const [from, to] of [[client, target], [target, client]] as const) {
            this.sockets.add(from);
            from.on("data", data => (!this.silent || openedWhileSilent) && to.write(data));
            from.on("error", () => to.destroy());
            from.on("close", () => to.destroy());
        }
    }
}

interface Fixture {
    readonly owner: RecordingOwner;
    readonly server: LinkServer;
    readonly pool: LinkPool;
    readonly tcpProxy: TcpProxy;
    readonly link: OwnerLink;
    readonly vm: VmDescription;
}

async function withLink(body: (fixture: Fixture) => Promise<void>, clientTls: TlsSettings = tls): Promise<void> {
    const owner = RecordingOwner.create();
    const services = { owner: owner as unknown as OwnerLink } as PeerServices;
    const server = LinkServer.create({ clock, host: "127.0.0.1", port: 0, tls, services }).unwrap();
    const port = (await run(server.listen())).unwrap();
    const tcpProxy = await TcpProxy.create(port);
    const pool = LinkPool.create({ vmId: "client", clock, tls: clientTls });
    const vm = { id: "vm1", zone: "z1", host: "127.0.0.1", heartbeatPort: 1, linkPort: tcpProxy.port, incarnation: 1, leaving: false };
    try {
        await body({ owner, server, pool, tcpProxy, link: pool.openOwner(vm), vm });
    }
    finally {
        pool.close();
        tcpProxy.close();
        server.close();
    }
}

test("statements share one link, which preserves SQL NULL and failures (guards against null in rows and lost outcomes)", () =>
    withLink(async ({ link, pool }) => {
        const responses = await Promise.all(["a", "b", "c"].map(id => run(link.execute(createRequest(id, `select ${id}`, StatementKind.Read)))));
        assert.deepEqual(responses.map(response => response.unwrap().result.rows[0]), [["select a", undefined], ["select b", undefined], [
            "select c",
            undefined,
        ]]);
        assert.equal(pool.size, 1);
        const refused = await run(link.execute(createRequest("d", "refuse", StatementKind.Write)));
        assert.equal(refused.err && refused.val.code, SchedulingDiagnostics.shareExceeded.code);
        assert.equal(refused.err && refused.val.outcome, RunOutcome.DidNotRun);
    }));

test("a peer whose certificate was not signed by the cluster's authority is refused (guards against unauthenticated peers)", () =>
    withLink(async ({ link, owner }) => {
        const response = await run(link.execute(createRequest("a", "select", StatementKind.Write)));
        assert.equal(response.err && response.val.code, Diagnostics.linkNotOpened.code);
        assert.equal(response.err && response.val.outcome, RunOutcome.DidNotRun);
        assert.deepEqual(owner.executed, []);
    }, { ...createTestCertificates(), authority: tls.authority }));

test("P5: a write in flight when the link breaks has an unknown outcome, and one that could not be sent did not run (guards against a false did-not-run)", () =>
    withLink(async ({ link, tcpProxy, owner }) => {
        const sent = run(link.execute(createRequest("sent", "wait 5000", StatementKind.Write, 4_000)));
        const read = run(link.execute(createRequest("read", "wait 5000", StatementKind.Read, 4_000)));
        while (owner.executed.length < 2) await run(sleep(clock, 5));
        tcpProxy.close();
        const outcomes = (await Promise.all([sent, read])).map(result => result.err && result.val.outcome);
        assert.deepEqual(outcomes, [RunOutcome.Unknown, RunOutcome.DidNotRun]);
        const unsent = await run(link.execute(createRequest("unsent", "insert", StatementKind.Write)));
        assert.equal(unsent.err && unsent.val.outcome, RunOutcome.DidNotRun);
        assert.equal(owner.executed.includes("unsent"), false);
    }));

test("P4: a response after the deadline is dropped and not taken as the response to the next request (guards against responses to another request)", () =>
    withLink(async ({ link }) => {
        // Opens the link first: opening can take longer than the deadline below, and such a call would fail as not run.
        (await run(link.execute(createRequest("first", "select", StatementKind.Read)))).unwrap();
        const lateResponse = await run(link.execute(createRequest("late", "wait 150", StatementKind.Write, 50)));
        assert.equal(lateResponse.err && lateResponse.val.code, Diagnostics.linkTimedOut.code);
        assert.equal(lateResponse.err && lateResponse.val.outcome, RunOutcome.Unknown);
        const next = await run(link.execute(createRequest("next", "wait 200", StatementKind.Read)));
        assert.equal(next.unwrap().requestId, "next");
    }));

test("a silent link is replaced, and new calls work within 4 s (guards against calls that time out indefinitely on a dead connection)", () =>
    withLink(async ({ link, tcpProxy }) => {
        (await run(link.execute(createRequest("first", "select", StatementKind.Read)))).unwrap();
        tcpProxy.silent = true;
        const startedAt = clock.now();
        const lost = await run(link.execute(createRequest("lost", "insert", StatementKind.Write, 10_000)));
        assert.equal(lost.err && lost.val.code, Diagnostics.linkBroken.code);
        assert.equal(lost.err && lost.val.outcome, RunOutcome.Unknown);
        assert.ok(clock.now() - startedAt < 4_000);
        (await run(link.execute(createRequest("again", "select", StatementKind.Read)))).unwrap();
    }));

test("a slow statement on a live link is not treated as silence (guards against closing links under load)", () =>
    withLink(async ({ link }) => {
        (await run(link.execute(createRequest("slow", "wait 2500", StatementKind.Write, 10_000)))).unwrap();
    }));

test("P8: a VM wrongly declared dead completes pending calls (guards against breaking the transactions of a VM that leaves)", () =>
    withLink(async ({ link, pool, vm }) => {
        // A link that is still being opened has no pending calls that were sent.
        (await run(link.execute(createRequest("first", "select", StatementKind.Read)))).unwrap();
        const response = run(link.execute(createRequest("last", "wait 1500", StatementKind.Write, 5_000)));
        await run(sleep(clock, 100));
        pool.closeUnlessResponsive(vm);
        (await response).unwrap();
    }));

test("open transactions are rolled back when their link closes (guards against slots that are never released)", () =>
    withLink(async ({ link, pool, owner }) => {
        const begin = { requestId: "t1", upstream: "u1", group: "g1", className: "orders", rank: Rank.Urgent, franchisee: "f1", term: 1, timeoutMs: 1_000 };
        (await run(link.begin(begin))).unwrap();
        pool.close();
        for (let attempt = 0; attempt < 100 && owner.rolledBack.length === 0; attempt++) await run(sleep(clock, 10));
        assert.deepEqual(owner.rolledBack, ["t1"]);
    }));

test("a malformed request is refused as not run and the link stays usable (guards against crashes caused by invalid input)", () =>
    withLink(async ({ link }) => {
        const malformed = await run(link.execute({ ...createRequest("bad", "x", StatementKind.Write), rank: "none" as Rank }));
        assert.equal(malformed.err && malformed.val.code, Diagnostics.requestMalformed.code);
        (await run(link.execute(createRequest("good", "select", StatementKind.Read)))).unwrap();
    }));
