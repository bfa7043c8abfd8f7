import { ManualClock } from "@vanillarouter/base/manualClock";
import { Operation } from "@vanillarouter/base/operation";
import { Task } from "@vanillarouter/base/task";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import * as bunyan from "bunyan";
import assert from "node:assert/strict";
import { test } from "node:test";
import { IsolationMonitor } from "./isolationMonitor";
import { Shutdown } from "./shutdown";

const leaveRotationMs = 2_300;

/** Runs a monitor of three services. Returns whether an idle session has been told to end. */
function runMonitor(isolatedMs: readonly (readonly [number, number])[], services = 3): { readonly hasEnded: boolean; readonly isIsolated: boolean; } {
    const clock = ManualClock.create();
    const shutdown = Shutdown.create(clock);
    const tasks = TaskGroup.create(err => assert.fail(String(err)));
    const monitor = IsolationMonitor.create(clock, tasks, shutdown, leaveRotationMs, bunyan.createLogger({ name: "test", streams: [] }));
    let hasEnded = false;
    Task.start((function*(): Operation<void> {
        yield* shutdown.waitForIdleClose();
        hasEnded = true;
    })());
    const isCutOff = (service: string): boolean => Number(service) < services && isolatedMs.some(([from, until]) => clock.now() >= from && clock.now() < until);
    const start = clock.now();
    tasks.start(monitor.run(() => ["0", "1", "2"], isCutOff));
    while (clock.now() < start + 8_000) clock.advance(10);
    return { hasEnded, isIsolated: monitor.isIsolated };
}

// Guards against sessions that are ended for moments without upstreams, as on a saturated link, and against callers that stay on a VM that cannot serve them.
test("only a VM that stays cut off from most services ends its idle sessions", () => {
    assert.deepEqual(runMonitor([[1_000, 9_000]]), { hasEnded: true, isIsolated: true });
    assert.deepEqual(runMonitor([[1_000, 2_000], [2_200, 4_000], [4_200, 6_000]]), { hasEnded: false, isIsolated: false });
    assert.deepEqual(runMonitor([[1_000, 9_000]], 1), { hasEnded: false, isIsolated: false });
});
