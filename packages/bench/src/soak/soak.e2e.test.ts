import assert from "node:assert/strict";
import { test } from "node:test";
import { runSoak } from "./runSoak";

const vmCount = 3;
const durationMs = 4_000;

// Guards against violated consistency guarantees while processes and connections fail. With odd seeds VMs use connections of
// their own; with even seeds the connection limit is so low that statements are relayed.
const restoreCount = 2;

for (const seed of [1, 2]) {
    test(`no consistency guarantee is violated under the faults of seed ${seed}`, async () => {
        const report = await runSoak(seed, vmCount, durationMs);
        assert.deepEqual(report.faults, [], `${report.injected.join("\n")}\nlogs in ${report.folder}`);
        assert.ok(report.committed > 0);
    });
}

// Guards against guarantees that depend on the store's revisions, leases or claims, which go back with it.
test("no consistency guarantee is violated when the store comes back from a backup twice beside the faults of seed 3", async () => {
    const report = await runSoak(3, vmCount, durationMs, restoreCount);
    assert.deepEqual(report.faults, [], `${report.injected.join("\n")}\nlogs in ${report.folder}`);
    assert.ok(report.committed > 0);
});
