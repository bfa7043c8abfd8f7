import { LineSocket } from "@vanillarouter/base/lineSocket";
import { Signal } from "@vanillarouter/base/signal";
import { Task } from "@vanillarouter/base/task";
import assert from "node:assert/strict";
import { test } from "node:test";
import { LargeMessageTurns } from "./largeMessageTurns";

const largeLength = 1_000_000;

async function settle(): Promise<void> {
    await new Promise<void>(resolve => setImmediate(resolve));
}

// Guards against small messages that wait behind several large ones on a slow link, and against a turn that never ends.
test("one large message at a time is sent, and small ones do not wait", async () => {
    const sent = Signal.create<void>();
    const turns = LargeMessageTurns.create({ waitUntilSent: () => sent.wait() } as unknown as LineSocket);
    const start = (length: number): Task<void> => Task.start(turns.wait(length));
    const [first, second, third, small] = [start(largeLength), start(largeLength), start(largeLength), start(100)] as const;
    await settle();
    assert.deepEqual([first, second, third, small].map(task => task.isSettled), [true, false, false, true]);
    second.cancel();
    sent.notifyAll();
    await settle();
    assert.equal(third.isSettled, true);
});
