import * as fc from "fast-check";
import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { Socket } from "node:net";
import { test } from "node:test";
import { CloseReason } from "./closeReason";
import { ConnectionBudget } from "./connectionBudget";
import { LineSocket } from "./lineSocket";
import { Task } from "./task";

/** A socket without a network. It takes what is written only when `isBlocked` is false. */
class FakeSocket extends EventEmitter {
    public isBlocked = false;
    public paused = false;
    public writableLength = 0;
    public readonly bytesWritten = 0;
    public destroyed = false;

    public setNoDelay(): void {}
    public setKeepAlive(): void {}
    public pause(): void {
        this.paused = true;
    }
    public resume(): void {
        this.paused = false;
    }
    public write(text: string): boolean {
        this.writableLength = this.isBlocked ? text.length : 0;
        return !this.isBlocked;
    }
    public destroy(): void {
        this.destroyed = true;
    }
}

const large = { maxConnections: 10, maxHeldBytes: 1e9, maxServedBytes: 1e9, loginTimeoutMs: 1e9, messageTimeoutMs: 1e9, responseTimeoutMs: 1e9 };

function create(maxLineBytes?: number, closed: CloseReason[] = []): { readonly socket: FakeSocket; readonly lineSocket: LineSocket; } {
    const socket = new FakeSocket();
    const budget = ConnectionBudget.create(large, (_, reason) => closed.push(reason));
    return { socket, lineSocket: LineSocket.create(socket as unknown as Socket, maxLineBytes, budget) };
}

async function receive(lineSocket: LineSocket): Promise<string | undefined> {
    return Task.start(lineSocket.receive()).toPromise();
}

// Guards against lines that are lost, joined or damaged where the pieces of a message are cut, also within a terminator.
test("lines arrive unchanged however they are cut into pieces", async () => {
    const line = fc.array(fc.constantFrom("a", "\r", "\n", "\u00ff", "b".repeat(9_000), "c".repeat(16_383)), { maxLength: 6 })
        .map(parts => parts.join("")).filter(text => !text.includes("\r\n") && !text.endsWith("\r"));
    await fc.assert(
        fc.asyncProperty(
            fc.array(line, { minLength: 1, maxLength: 6 }),
            fc.array(fc.integer({ min: 1, max: 20_000 }), { minLength: 1 }),
            async (lines, sizes) => {
                const { socket, lineSocket } = create();
                const data = Buffer.from(lines.map(text => `${text}\r\n`).join(""), "latin1");
                for (let start = 0, index = 0; start < data.length; index++) {
                    const end = start + sizes[index % sizes.length]!;
                    socket.emit("data", data.subarray(start, end));
                    start = end;
                }
                for (const expected of lines) assert.equal(await receive(lineSocket), expected);
            },
        ),
        { numRuns: 200 },
    );
});

// Guards against a statement that is executed although the response to the one before it has not left, and against reading on meanwhile.
test("the next line is delivered only once the response has left", async () => {
    const { socket, lineSocket } = create();
    socket.emit("data", Buffer.from("first\r\nsecond\r\n"));
    assert.equal(await receive(lineSocket), "first");
    socket.emit("data", Buffer.alloc(70_000, "x"));
    assert.equal(socket.paused, true);
    socket.isBlocked = true;
    lineSocket.send("y".repeat(20_000));
    const next = Task.start(lineSocket.receive());
    assert.equal(next.isSettled, false);
    socket.emit("drain");
    assert.equal(await next.toPromise(), "second");
});

// Guards against a message over the limit that is held, and against lines of a connection closed for a limit that are executed.
test("a message over the limit closes the connection and drops what waits", async () => {
    const closed: CloseReason[] = [];
    const { socket, lineSocket } = create(10_000, closed);
    socket.emit("data", Buffer.from("waiting\r\n"));
    socket.emit("data", Buffer.alloc(10_001, "x"));
    assert.deepEqual([closed, socket.destroyed, lineSocket.heldBytes], [[CloseReason.MessageLength], true, 0]);
    assert.equal(await receive(lineSocket), undefined);
});
