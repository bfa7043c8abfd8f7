import { ManualClock } from "@vanillarouter/base/manualClock";
import { Task } from "@vanillarouter/base/task";
import { StoreChanges } from "@vanillarouter/session/model/storeChanges";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ChangeLog } from "./changeLog";

const waitMs = 1_000;
const era = 3;

function waitForChangesAfter(clock: ManualClock, log: ChangeLog, after: number): StoreChanges | undefined {
    const task = Task.start(log.waitForChangesAfter({ era, revision: after }, waitMs));
    clock.advance(waitMs);
    let result: StoreChanges | undefined;
    task.deliver(value => result = value, err => assert.fail(String(err)));
    return result;
}

// Guards against a follower that misses a change because the watcher had a gap in its log or dropped old changes.
test("a follower gets every change after its revision, or has to read the store", () => {
    fc.assert(
        fc.property(fc.array(fc.integer({ min: 1, max: 400 }), { minLength: 1, maxLength: 12 }), fc.nat(3_000), (batches, after) => {
            const clock = ManualClock.create();
            const log = ChangeLog.create(clock);
            log.reset({ era, revision: 100 });
            let revision = 100;
            for (const size of batches) {
                const changes = Array.from({ length: size }, () => ({ key: `k${++revision}`, text: "v", revision }));
                log.append({ changes, position: { era, revision } });
            }
            const result = waitForChangesAfter(clock, log, after);
            if (result === undefined) return after < 100 || revision - after > 500;
            const expected = Array.from({ length: Math.max(0, revision - after) }, (_, index) => after + 1 + index);
            assert.deepEqual(result.changes.map(change => change.revision), expected);
            return result.position.revision === Math.max(after, revision);
        }),
        { seed: 20261204 },
    );
});

// Guards against memory that grows with every version of a configuration.
test("a follower gets the latest change of each key only", () => {
    const clock = ManualClock.create();
    const log = ChangeLog.create(clock);
    log.reset({ era, revision: 1 });
    for (let revision = 2; revision <= 9; revision++) {
        log.append({ changes: [{ key: `k${revision % 2}`, text: `v${revision}`, revision }], position: { era, revision } });
    }
    assert.deepEqual(waitForChangesAfter(clock, log, 1)?.changes.map(change => change.text), ["v8", "v9"]);
    assert.deepEqual(waitForChangesAfter(clock, log, 8)?.changes.map(change => change.text), ["v9"]);
});

// Guards against followers that wait for changes from a VM that has lost its connection to the store.
test("a wait ends without changes when the watcher loses the store", () => {
    const clock = ManualClock.create();
    const log = ChangeLog.create(clock);
    log.reset({ era, revision: 7 });
    const waiting = Task.start(log.waitForChangesAfter({ era, revision: 7 }, waitMs));
    log.disconnect();
    assert.equal(waiting.isSettled, true);
    assert.equal(waitForChangesAfter(clock, log, 7), undefined);
    log.reset({ era, revision: 9 });
    assert.equal(waitForChangesAfter(clock, log, 7), undefined);
    assert.deepEqual(waitForChangesAfter(clock, log, 9), { changes: [], position: { era, revision: 9 } });
});

// Guards against changes that are delivered only at the end of the long poll.
test("a change ends a wait at once", () => {
    const clock = ManualClock.create();
    const log = ChangeLog.create(clock);
    log.reset({ era, revision: 7 });
    const waiting = Task.start(log.waitForChangesAfter({ era, revision: 7 }, waitMs));
    log.append({ changes: [{ key: "k", text: undefined, revision: 8 }], position: { era, revision: 8 } });
    assert.equal(waiting.isSettled, true);
});

// Guards against a follower that gets changes of a restored store as if they continued the history that it knows, and misses others.
test("a follower of another era has to read the store", () => {
    const clock = ManualClock.create();
    const log = ChangeLog.create(clock);
    log.reset({ era, revision: 7 });
    const waiting = Task.start(log.waitForChangesAfter({ era, revision: 7 }, waitMs));
    log.reset({ era: era + 1, revision: 5 });
    log.append({ changes: [{ key: "k", text: "v", revision: 8 }], position: { era: era + 1, revision: 8 } });
    let result: StoreChanges | undefined;
    waiting.deliver(value => result = value, err => assert.fail(String(err)));
    assert.equal(result, undefined);
    assert.equal(waitForChangesAfter(clock, log, 7), undefined);
});
