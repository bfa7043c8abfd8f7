import { Configuration } from "@vanillarouter/base/configuration";
import { CounterMetrics } from "@vanillarouter/base/counterMetrics";
import { createFailure } from "@vanillarouter/base/createFailure";
import { createLogger } from "@vanillarouter/base/createLogger";
import { Rank } from "@vanillarouter/base/rank";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Signal } from "@vanillarouter/base/signal";
import { SystemClock } from "@vanillarouter/base/systemClock";
import { Task } from "@vanillarouter/base/task";
import { Diagnostics as RoutingDiagnostics } from "@vanillarouter/routing/diagnostics";
import { CallerSession } from "@vanillarouter/routing/entry/callerSession";
import { StatementRequest } from "@vanillarouter/routing/entry/statementRequest";
import * as fc from "fast-check";
import * as mysql from "mysql";
import { Connection, createConnection } from "mysql2/promise";
import * as assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { connect, Socket } from "node:net";
import { after, afterEach, before, beforeEach, mock, test } from "node:test";
import { Err, Ok } from "ts-results";
import { CallerListener } from "./callerListener";
import { createTextResult } from "./createTextResult";

const maxStatementBytes = 100_000;
/** The real clock measures logins, so the timeout of all tests that are not about it leaves room for a busy machine. */
const loginTimeoutMs = 10_000;
const shortLoginTimeoutMs = 300;
const limits = { maxConnections: 5, maxStatementBytes, loginTimeoutMs };
const passwordHash = createHash("sha1").update(createHash("sha1").update("secret").digest()).digest("hex");
const configuration: Configuration = {
    version: 1,
    classes: new Map([["orders", { name: "orders", rank: Rank.Urgent, targetMs: 100, readOnly: false }]]),
    accounts: new Map([["shop", { user: "shop", passwordHash, defaultClass: "orders" }]]),
    groups: new Map([["stock", { name: "stock", upstreams: [] }], ["sales", { name: "sales", upstreams: [] }]]),
};

const requests: StatementRequest[] = [];
const attachCalls: string[] = [];
let waitReleased = Signal.create<void>();
let closedSessions = { count: 0 };
let listener: CallerListener;
let port = 0;
const openedConnections: Connection[] = [];
const consoleCalls: unknown[] = [];

function openSession(): CallerSession {
    const closedSessionsOfTest = closedSessions;
    const session = {
        token: "t0",
        inTransaction: false,
        attach: (options: { name?: string; token?: string; }) => {
            attachCalls.push(`${options.name}/${options.token}`);
            return Ok(undefined);
        },
        *execute(req: StatementRequest): ReturnType<CallerSession["execute"]> {
            requests.push(req);
            if (req.sql === "WAIT") yield* waitReleased.wait();
            if (req.sql === "THROW") throw new Error("broken session");
            if (req.sql === "REFUSE") return Err(createFailure(RoutingDiagnostics.noPrimary, RunOutcome.DidNotRun, "stock"));
            if (req.sql === "REJECT") {
                return Err({ ...createFailure(RoutingDiagnostics.statementRejected, RunOutcome.DidNotRun, "u1", "duplicate"), details: { errno: 1062 } });
            }
            if (req.sql === "BEGIN" || req.sql === "COMMIT") session.inTransaction = req.sql === "BEGIN";
            if (req.sql.startsWith("SELECT")) return Ok({ result: createTextResult(["a", "b"], [["é", undefined], ["2", ""]]) });
            return Ok({ result: { ...createTextResult([], []), affectedRows: 3, insertId: 70_000 }, token: "t1" });
        },
        *close(): ReturnType<CallerSession["close"]> {
            closedSessionsOfTest.count++;
        },
    };
    return session;
}

function openConnection(options: object = {}): Promise<Connection> {
    const opening = createConnection({ host: "127.0.0.1", port, user: "shop", password: "secret", database: "stock", ...options });
    return opening.then(connection => {
        openedConnections.push(connection);
        connection.on("error", () => {});
        return connection;
    });
}

/** Sends raw bytes after the server's handshake packet and returns everything received until the connection closes. */
function sendRaw(bytes: Buffer, endAfterSending = false): Promise<string> {
    return new Promise(resolve => {
        const received: Buffer[] = [];
        const socket = connect(port, "127.0.0.1");
        socket.once("data", () => endAfterSending ? socket.end(bytes) : socket.write(bytes));
        socket.on("data", chunk => received.push(chunk));
        socket.on("error", () => {});
        socket.on("close", () => resolve(Buffer.concat(received).toString("latin1")));
    });
}

function createPacket(payload: Buffer, sequence: number): Buffer {
    const header = Buffer.alloc(4);
    header.writeUIntLE(payload.length, 0, 3);
    header[3] = sequence;
    return Buffer.concat([header, payload]);
}

before(() => {
    for (const name of ["error", "log", "trace"] as const) mock.method(console, name, (...args: unknown[]) => consoleCalls.push(args));
});
after(() => mock.restoreAll());
beforeEach(async () => {
    limits.loginTimeoutMs = loginTimeoutMs;
    requests.length = 0;
    attachCalls.length = 0;
    closedSessions = { count: 0 };
    waitReleased = Signal.create<void>();
    listener = CallerListener.create({
        configuration: { current: configuration, changed: Signal.create() },
        sessionFactory: { openSession },
        clock: SystemClock.create(),
        logger: createLogger("test", "fatal"),
        counters: CounterMetrics.create(),
        limits,
    });
    port = await listener.listen("127.0.0.1", 0);
});
afterEach(async () => {
    for (const connection of openedConnections.splice(0)) connection.destroy();
    listener.close();
    assert.deepEqual(consoleCalls.splice(0), [], "mysql2 must not print warnings about packet numbers or unknown commands");
});

test("rows distinguish NULL from the empty string, and a write returns its counts and the session token", async () => {
    const connection = await openConnection();
    assert.deepEqual((await connection.query({ sql: "SELECT a", rowsAsArray: true }))[0], [["é", null], ["2", ""]]);
    const [written] = await connection.query("INSERT INTO t VALUES (1)");
    const { affectedRows, insertId, info } = written as { affectedRows: number; insertId: number; info: string; };
    assert.deepEqual([affectedRows, insertId], [3, 70_000]);
    assert.match(info, /vr_token=t1$/);
    assert.deepEqual(requests.map(req => [req.className, req.franchisee, req.group, req.repeatable]), [
        ["orders", "shop", "stock", true],
        ["orders", "shop", "stock", false],
    ]);
    assert.notEqual(requests[0]!.requestId, requests[1]!.requestId);
});

test("a hint comment overrides connection attributes, which override variables, which override defaults", async () => {
    const connection = await openConnection({ connectAttributes: { vr_franchisee: "f-attribute", vr_session: "s1" } });
    await connection.query("SET @vr_class = 'orders', @vr_franchisee = 'f-variable', @vr_deadline = 250, @vr_req = 'r7'");
    await connection.query("INSERT 1");
    await connection.query("/*vr franchisee=f-comment session=s2 token=abc req=6f1c repeatable */ INSERT 2");
    assert.deepEqual(requests.map(req => [req.franchisee, req.timeoutMs, req.repeatable, req.sql]), [
        ["f-attribute", 250, false, "INSERT 1"],
        ["f-comment", 250, true, "INSERT 2"],
    ]);
    assert.deepEqual(requests.map(req => req.requestId), ["f-attribute:r7", "f-comment:6f1c"]);
    assert.deepEqual(attachCalls, ["s1/undefined", "s2/abc"]);
    await connection.query("INSERT 3");
    assert.notEqual(requests[2]!.requestId, "f-attribute:r7", "a request id set as a variable applies to one statement");
});

test("a retry is marked as such, and all tokens of a session with overlapping statements are merged", async () => {
    const connection = await openConnection();
    await connection.query("/*vr session=s1 token=abc,def req=7 retry */ INSERT 1");
    assert.equal(requests[0]!.isRetry, true);
    assert.deepEqual(attachCalls, ["s1/abc", "s1/def"]);
});

test("a connection keeps its own session's floors across statements of other sessions, and no session gets another's token", async () => {
    const connection = await openConnection();
    for (const sql of ["INSERT 1", "/*vr session=s2 token=abc */ INSERT 2", "INSERT 3"]) await connection.query(sql);
    assert.deepEqual(attachCalls.splice(0), ["s2/abc", "(own)/t0"], "the third statement must see the first one's write");
    const named = await openConnection({ connectAttributes: { vr_session: "s1", vr_token: "first" } });
    for (const sql of ["INSERT 1", "/*vr session=s2 */ INSERT 2", "INSERT 3"]) await named.query(sql);
    assert.deepEqual(attachCalls, ["s1/first", "s2/undefined", "s1/t0", "s1/first"]);
});

test("malformed hints, statements that set upstream connection state and unknown commands are rejected with a result code and not executed", async () => {
    const connection = await openConnection();
    const rejectedStatements: readonly (readonly [string, RegExp])[] = [
        ["/*vr class=a b=c*/ SELECT 1 FROM t", /^\[vr-1105\].*did not run/],
        ["/*vr class=orders SELECT 1 FROM t", /^\[vr-1105\]/],
        ["/*vr once*/ /*vr term=7*/ SELECT 1 FROM t", /^\[vr-1105\]/],
        ["/*vr deadline=-1*/ SELECT 1 FROM t", /^\[vr-1105\]/],
        ["/*vr class=nope*/ SELECT 1", /^\[vr-1200\]/],
        ["SET autocommit = 0", /^\[vr-1107\]/],
        ["SET @other = 1", /^\[vr-1113\]/],
        ["LOCK TABLES t WRITE", /^\[vr-1107\]/],
        ["/* app */ LOCK TABLES t WRITE", /^\[vr-1107\]/],
        ["/* only a comment */", /^\[vr-1107\]/],
        ["USE nowhere", /^\[vr-1201\]/],
        [`SELECT '${"x".repeat(maxStatementBytes)}'`, /^\[vr-1104\]/],
    ];
    for (const [sql, message] of rejectedStatements) await assert.rejects(connection.query(sql), { message });
    await assert.rejects(connection.execute("SELECT ?", [1]), /\[vr-1106\]/);
    assert.deepEqual(requests, []);
    await assert.rejects(connection.query("REJECT"), { errno: 1062 }, "applications handle errors by the upstream's error number");
    await assert.rejects(connection.query("REFUSE"), /^Error: \[vr-1203\] database group stock has no primary \(did not run\)$/);
});

test("statements that clients send when they connect are executed without an upstream", async () => {
    const connection = await openConnection({ database: undefined });
    const statements = ["SET NAMES utf8mb4", "SET autocommit=1, sql_mode=concat(@@sql_mode,',STRICT_TRANS_TABLES')", "SELECT @@version_comment LIMIT 1"];
    for (const sql of [...statements, "SHOW WARNINGS", "SHOW VARIABLES LIKE 'max_%'", "SELECT 1", "USE sales"]) await connection.query(sql);
    await connection.ping();
    const [rows] = await connection.query("SELECT DATABASE() AS db, @vr_token, @@session.autocommit AS ac");
    assert.deepEqual(rows, [{ db: "sales", "@vr_token": "t0", ac: "1" }]);
    assert.deepEqual(requests, []);
});

test("a login with a wrong password, user, database or attribute is rejected, as are excess connections, and other connections keep working", async () => {
    const other = await openConnection();
    await assert.rejects(openConnection({ password: "wrong" }), /\[vr-1100\] access denied/);
    await assert.rejects(openConnection({ password: "" }), /\[vr-1100\]/);
    await assert.rejects(openConnection({ user: "nobody" }), /\[vr-1100\]/);
    await assert.rejects(openConnection({ database: "nowhere" }), /\[vr-1201\]/);
    await assert.rejects(openConnection({ connectAttributes: { vr_class: "a b" } }), /\[vr-1105\]/);
    await other.query("SELECT a");
    const remainingConnections = [await openConnection(), await openConnection(), await openConnection(), await openConnection()];
    await assert.rejects(openConnection(), /\[vr-1102\]/);
    assert.equal(remainingConnections.length, 4);
});

test("malformed packets, incorrect lengths, partial packets and login timeouts close only their own connection", async () => {
    const other = await openConnection();
    limits.loginTimeoutMs = shortLoginTimeoutMs;
    const login = Buffer.alloc(44);
    login.writeUInt32LE(0x38aa0d);
    const oversizedAttributes = Buffer.concat([login.subarray(0, 36), Buffer.from("fe00000000000000010000", "hex")]);
    assert.match(await sendRaw(createPacket(Buffer.from("garbage"), 1)), /\[vr-1108\]/);
    assert.match(await sendRaw(createPacket(oversizedAttributes, 1)), /\[vr-1108\]/, "an incorrect length of attributes must not block the process");
    assert.match(await sendRaw(Buffer.from("GET / HTTP/1.1\r\n\r\n")), /\[vr-1101\]/);
    assert.match(await sendRaw(createPacket(login, 7)), /\[vr-1103\]/);
    assert.match(await sendRaw(Buffer.concat([Buffer.from([0xff, 0xff, 0xff, 1]), Buffer.alloc(200_000)])), /\[vr-1104\]/);
    await sendRaw(createPacket(login, 1).subarray(0, 20), true);
    await other.query("SELECT a");
});

test("random bytes and corrupted login packets close only their own connection and affect neither others nor the process", async () => {
    const other = await openConnection();
    limits.loginTimeoutMs = shortLoginTimeoutMs;
    const login = Buffer.concat([Buffer.alloc(32), Buffer.from("shop\0"), Buffer.from([20]), Buffer.alloc(20), Buffer.from("stock\0mysql_native_password\0")]);
    login.writeUInt32LE(0x38aa0d);
    for (const tail of ["fe", "fe00", "fd01", "fc", "fb", "fefefefefefefefefe", "0afe"]) {
        assert.match(await sendRaw(createPacket(Buffer.concat([login, Buffer.from(tail, "hex")]), 1), true), /\[vr-11(00|08)\]/, tail);
    }
    const byteChange = fc.tuple(fc.nat(login.length - 1), fc.integer({ min: 0, max: 255 }));
    await fc.assert(
        fc.asyncProperty(fc.array(byteChange, { minLength: 1, maxLength: 6 }), fc.uint8Array({ maxLength: 40 }), async (changes, tail) => {
            const bytes = Buffer.concat([login, tail]);
            for (const [index, value] of changes) bytes[index] = value;
            await sendRaw(Buffer.concat([createPacket(bytes, 1), Buffer.from(tail)]), true);
        }),
        { seed: 11, numRuns: 150 },
    );
    await other.query("SELECT a");
});

test("random commands after the login get errors or close the connection, and do not affect other connections", async () => {
    const other = await openConnection();
    await fc.assert(
        fc.asyncProperty(fc.array(fc.uint8Array({ minLength: 1, maxLength: 30 }), { minLength: 1, maxLength: 20 }), async commands => {
            const { stream } = (await openConnection() as unknown as { readonly connection: { readonly stream: Socket; }; }).connection;
            stream.removeAllListeners("data").resume();
            const closed = new Promise(resolve => stream.on("close", resolve));
            for (const command of commands) stream.write(createPacket(Buffer.from(command), 0));
            stream.end();
            await closed;
        }),
        { seed: 12, numRuns: 60 },
    );
    await other.query("SELECT a");
});

test("an unexpected exception closes only its own connection, and the session is closed", async () => {
    const other = await openConnection();
    const connection = await openConnection();
    await assert.rejects(connection.query("THROW"), /\[vr-1114\].*unknown outcome/);
    await other.query("SELECT a");
    await assert.rejects(connection.query("SELECT a"));
    assert.equal(closedSessions.count, 1);
});

test("when a caller disconnects, its statement is cancelled and its session closed", async () => {
    const connection = await openConnection();
    connection.query("WAIT").catch(() => {});
    while (requests.length === 0) await new Promise(resolve => setImmediate(resolve));
    connection.destroy();
    while (closedSessions.count === 0) await new Promise(resolve => setImmediate(resolve));
});

test("draining lets statements and transactions in progress finish and closes idle connections with result code 1112", async () => {
    const [idle, busy, inTransaction] = [await openConnection(), await openConnection(), await openConnection()];
    const idleError = new Promise<Error>(resolve => idle.on("error", resolve));
    await inTransaction.query("BEGIN");
    const pending = busy.query("INSERT 1").then(() => busy.query("WAIT"));
    while (requests.length < 3) await new Promise(resolve => setImmediate(resolve));
    const drained = Task.start(listener.drain(5000)).toPromise();
    assert.match((await idleError).message, /\[vr-1112\]/);
    await assert.rejects(openConnection());
    waitReleased.notifyAll();
    await pending;
    await inTransaction.query("INSERT 2");
    await inTransaction.query("COMMIT");
    assert.equal(await drained, 0);
});

// Some client libraries run statements before they select a database. Guards against rejecting these, which would keep the
// libraries from connecting.
test("a connection of the client library `mysql` without a database runs statements that need none", async () => {
    const client = mysql.createConnection({ host: "127.0.0.1", port, user: "shop", password: "secret" });
    const run = (sql: string): Promise<unknown> =>
        new Promise((resolve, reject) => client.query(sql, (err, rows) => err === null ? resolve(rows) : reject(err)));
    await new Promise<void>((resolve, reject) => client.ping(err => err === null ? resolve() : reject(err)));
    const [row] = await run("SELECT 1") as Record<string, unknown>[];
    assert.equal(String(row?.["1"]), "1");
    await run("SET autocommit = 1");
    await run("BEGIN");
    await run("ROLLBACK");
    await run("BEGIN");
    await assert.rejects(run("INSERT INTO t VALUES (1)"), /1110/);
    assert.equal(requests.length, 0);
    await run("USE stock");
    await run("INSERT INTO t VALUES (1)");
    await run("COMMIT");
    assert.deepEqual(requests.map(req => [req.group, req.sql]), [["stock", "BEGIN"], ["stock", "INSERT INTO t VALUES (1)"], ["stock", "COMMIT"]]);
    client.destroy();
});
