import assert from "node:assert/strict";
import { test } from "node:test";
import { ConnectionChoiceKind } from "./connectionChoiceKind";
import { WaitQueue } from "./waitQueue";

const { Open, Reuse, Wait } = ConnectionChoiceKind;

/** Wakes waiters until none can proceed, and returns the names of those that were woken. */
function wakeAll(waiters: readonly (readonly [name: string, rank: number, since: number, choice: ConnectionChoiceKind])[], mayPassOver: boolean): string {
    const queue = WaitQueue.create();
    const woken: string[] = [];
    for (const [name, rank, since, choice] of waiters) queue.add({ rank, since, owner: name, choose: () => choice, wake: () => void woken.push(name) });
    while (queue.size > waiters.filter(([, , , choice]) => choice === Wait).length) queue.wakeFirst(mayPassOver);
    return woken.join(" ");
}

// Guards against urgent work behind other work, and against work that loses its place when it looks again.
test("waiters that can proceed are woken by rank and then by the time since which they wait", () => {
    assert.equal(wakeAll([["late", 0, 5, Open], ["background", 1, 0, Reuse], ["early", 0, 1, Open], ["blocked", 0, 0, Wait]], true), "early late background");
});

// Guards against opening a connection for each operation under an overload, and against tenants that others pass for ever.
test("work that can use an idle connection passes earlier work that cannot, unless that has been passed too often", () => {
    const waiters = [["opener", 0, 0, Open], ["reuser", 0, 1, Reuse], ["background", 1, 0, Reuse]] as const;
    assert.equal(wakeAll(waiters, true), "reuser opener background");
    assert.equal(wakeAll(waiters, false), "opener reuser background");
});
