import { LineSocket } from "@vanillarouter/base/lineSocket";
import { SystemClock } from "@vanillarouter/base/systemClock";
import { Task } from "@vanillarouter/base/task";
import { Abandonment } from "@vanillarouter/session/entry/abandonment";
import { ErrorKind } from "@vanillarouter/session/model/errorKind";
import { StatementKind } from "@vanillarouter/session/model/statementKind";
import assert from "node:assert/strict";
import { AddressInfo, connect, createServer, Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { RelayLink } from "./relayLink";
import { RelayTestBed } from "./testing/relayTestBed";

const service = "orders";
const settleMs = 100;

// Guards against work at a gateway for a caller that has left its entry VM, against a second gateway that gets it, and against a gateway that counts as failed.
test("a statement that waits at a gateway is dropped there when its caller leaves, runs nowhere else, and the gateway stays usable", async context => {
    const bed = await RelayTestBed.create(2);
    context.after(() => bed.close());
    const gateway = bed.find("g1");
    await bed.run(bed.executor.runStatement(bed.createRequest("a0", false), bed.createStatement("a0", StatementKind.Write)));
    gateway.executor.isBlocked = true;
    for (const [id, readOnly] of [["a1", false], ["a2", true]] as const) {
        const abandonment = Abandonment.create();
        const kind = readOnly ? StatementKind.Read : StatementKind.Write;
        const running = bed.run(bed.executor.runStatement({ ...bed.createRequest(id, readOnly), abandonment }, bed.createStatement(id, kind)));
        await wait(settleMs);
        assert.deepEqual(gateway.executor.droppedIds.includes(id), false);
        abandonment.abandon();
        assert.equal((await running).error, ErrorKind.Busy);
    }
    assert.deepEqual(gateway.executor.droppedIds, ["a1", "a2"]);
    assert.deepEqual(bed.find("g2").executor.executedIds, []);
    assert.equal(bed.relayGateways.listUsable(service, undefined).length, 2);
    gateway.executor.isBlocked = false;
    const next = await bed.run(bed.executor.runStatement(bed.createRequest("a3", false), bed.createStatement("a3", StatementKind.Write)));
    assert.equal(next.receipt, "g1/a3");
});

// Guards against a link that a gateway of an earlier version closes because it does not know the message, with all transactions on it.
test("a call is cancelled only at a gateway that accepts it, and only while it waits for its response", async context => {
    const lines: string[] = [];
    let gatewaySocket: Socket | undefined;
    const server = createServer(socket => {
        gatewaySocket = socket;
        socket.on("data", data => lines.push(...data.toString("latin1").split("\r\n").filter(line => line !== "")));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const entrySocket = connect({ host: "127.0.0.1", port: (server.address() as AddressInfo).port });
    context.after(() => {
        entrySocket.destroy();
        server.close();
    });
    const link = RelayLink.create(LineSocket.create(entrySocket), SystemClock.create());
    Task.start(link.dispatchResponses());
    const startCall = (): Abandonment => {
        const abandonment = Abandonment.create();
        Task.start(link.call(2_000, call => ({ kind: "check", call, service }), abandonment));
        return abandonment;
    };
    const findCancelled = (): readonly number[] => lines.map(line => JSON.parse(line)).filter(({ kind }) => kind === "cancel").map(({ call }) => call);
    const [first, second, third] = [startCall(), startCall(), startCall()];
    first.abandon();
    await wait(settleMs);
    assert.deepEqual(findCancelled(), []);
    gatewaySocket!.write(`${JSON.stringify({ kind: "pong", acceptsCancel: true })}\r\n${JSON.stringify({ kind: "ready", call: 2 })}\r\n`);
    await wait(settleMs);
    for (const abandonment of [second, third]) abandonment.abandon();
    await wait(settleMs);
    assert.deepEqual(findCancelled(), [3]);
    assert.equal(link.activeCalls, 2);
});

// Guards against a message that ends the link or another call: the call may have been answered while the message was on its way.
test("a gateway ignores a cancel for a call that it has answered or never got, and a malformed one closes only that link", async context => {
    const bed = await RelayTestBed.create(1);
    context.after(() => bed.close());
    const socket = connect({ host: "127.0.0.1", port: (bed.find("g1").listener.address() as AddressInfo).port });
    let received = "";
    let isClosed = false;
    socket.on("data", data => received += data.toString("latin1"));
    socket.on("close", () => isClosed = true);
    for (const message of [{ kind: "cancel", call: 99 }, { kind: "ping" }, { kind: "ping" }]) socket.write(`${JSON.stringify(message)}\r\n`);
    await wait(settleMs);
    assert.equal(received.split("\r\n").filter(line => line.includes("pong")).length, 2);
    socket.write(`${JSON.stringify({ kind: "cancel", call: "all" })}\r\n`);
    await wait(settleMs);
    assert.equal(isClosed, true);
    const outcome = await bed.run(bed.executor.runStatement(bed.createRequest("b1", false), bed.createStatement("b1", StatementKind.Write)));
    assert.equal(outcome.receipt, "g1/b1");
});
