import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "./manualClock";
import { sleep } from "./sleep";
import { TaskGroup } from "./taskGroup";

// Guards against a background task that ends with its first unexpected error, so that the process runs on without it.
test("an operation that must keep running is started again after each failure", () => {
    const clock = ManualClock.create();
    const failures: unknown[] = [];
    const tasks = TaskGroup.create(err => failures.push(err));
    let starts = 0;
    const task = tasks.keepRunning(clock, function*() {
        starts++;
        yield* sleep(clock, 10);
        if (starts < 3) throw new Error(`failure ${starts}`);
        yield* sleep(clock, 1_000_000);
    });
    for (let elapsedMs = 0; elapsedMs < 2_000; elapsedMs += 10) clock.advance(10);
    assert.equal(starts, 3);
    assert.equal(failures.length, 2);
    assert.equal(task.isSettled, false);
});
