import { connect, Socket } from "node:net";
import { test, TestContext } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { LimitedDaemon } from "./testing/limitedDaemon";

const crowdSize = 120;
const settleMs = 2_000;
const writeTimeoutMs = 200;
const headerBytes = 4;
const queryCommand = "\u0003";
/** A value with which a statement is just below the limit of a mebibyte. */
const largeValue = "x".repeat(1_048_576 - 400);
const largeStatement = `SELECT ref FROM orders WHERE ref = '${largeValue}'`;

/** Encodes a query command. `length` is the length that its header states. */
function encodeQuery(sql: string, length = sql.length + 1): Buffer {
    const header = Buffer.alloc(headerBytes);
    header.writeUIntLE(length, 0, 3);
    return Buffer.concat([header, Buffer.from(queryCommand + sql, "latin1")]);
}

function send(sockets: readonly Socket[], data: Buffer): void {
    for (const socket of sockets) {
        if (socket.writable) socket.write(data);
    }
}

/** Sends a piece on every connection `count` times, one round after another. */
async function sendPieces(sockets: readonly Socket[], piece: Buffer, count: number): Promise<void> {
    for (let round = 0; round < count; round++) {
        const writes = sockets.filter(socket => socket.writable).map(socket => new Promise<void>(resolve => socket.write(piece, () => resolve())));
        if (writes.length > 0) await Promise.race([Promise.all(writes), wait(writeTimeoutMs)]);
    }
}

async function playCrowd(context: TestContext, count: number, play: (sockets: readonly Socket[], daemon: LimitedDaemon) => Promise<void>): Promise<void> {
    const daemon = await LimitedDaemon.start(context);
    const sockets = await daemon.connectCrowd(context, count);
    await play(sockets, daemon);
    await wait(settleMs);
    daemon.checkBounds();
    for (const socket of sockets) socket.destroy();
    await daemon.checkService();
    daemon.checkBounds();
}

// Guards against statements of legal size that together exceed the memory of the process.
test(
    "a daemon survives a crowd that sends statements of legal size in one piece",
    { timeout: 100_000 },
    context =>
        playCrowd(context, crowdSize, async sockets => {
            for (const socket of sockets) socket.resume();
            for (let index = 0; index < 3; index++) send(sockets, encodeQuery(largeStatement));
        }),
);

// Guards against unfinished statements that are held without limit over all connections.
test(
    "a daemon survives a crowd that sends statements in small pieces and does not finish them",
    { timeout: 100_000 },
    context =>
        playCrowd(context, crowdSize, async sockets => {
            send(sockets, encodeQuery("SELECT ", 1_048_000));
            await sendPieces(sockets, Buffer.alloc(2_048, "x"), 500);
        }),
);

// Guards against statements over the limit that are held up to the limit on many connections at once.
test("a daemon survives a crowd that sends statements far over the limit", { timeout: 100_000 }, context =>
    playCrowd(context, crowdSize, async sockets => {
        send(sockets, encodeQuery("SELECT ", 16_000_000));
        await sendPieces(sockets, Buffer.alloc(65_536, "x"), 64);
    }));

// Guards against statements that are queued without limit over all connections.
test(
    "a daemon survives callers that send statements ahead and read no response",
    { timeout: 100_000 },
    context =>
        playCrowd(context, 20, async (sockets, daemon) => {
            await daemon.storeLargeRow();
            for (let index = 0; index < 6; index++) send(sockets, encodeQuery("SELECT note FROM orders WHERE ref = 'large'"));
            for (let index = 0; index < 8; index++) send(sockets, encodeQuery(largeStatement));
        }),
);

// Guards against responses that are held for callers that do not read, and against statements that stop half-way.
test(
    "a daemon survives a crowd that reads very slowly and stops half-way",
    { timeout: 100_000 },
    context =>
        playCrowd(context, 100, async (sockets, daemon) => {
            await daemon.storeLargeRow();
            for (let index = 0; index < 12; index++) send(sockets, encodeQuery("SELECT note FROM orders WHERE ref = 'large'"));
            send(sockets, encodeQuery(largeStatement.slice(0, 500_000), 1_000_000));
            for (let round = 0; round < 40; round++) {
                for (const socket of sockets) socket.read(64);
                await wait(settleMs / 20);
            }
        }),
);

// Guards against connections that send nothing and use up the descriptors of the process.
test("a daemon survives a crowd of connections that send nothing", { timeout: 100_000 }, context =>
    playCrowd(context, 0, async (_, daemon) => {
        const sockets = Array.from({ length: 600 }, () => connect(daemon.callerPort, "127.0.0.1").on("error", () => undefined));
        context.after(() => sockets.forEach(socket => socket.destroy()));
        await wait(settleMs);
        for (const socket of sockets) socket.destroy();
    }));
