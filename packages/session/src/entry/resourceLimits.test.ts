import assert from "node:assert/strict";
import { test } from "node:test";
import { ResourceLimits } from "./resourceLimits";

const times = { loginTimeoutMs: 1, messageTimeoutMs: 1, responseTimeoutMs: 1 };
const mebibyte = 1_048_576;

// Guards against defaults that callers within the stated limits reach on a small VM, and against limits that leave nothing for upstreams.
test("a small VM has room for some hundred sessions and several messages of a mebibyte", () => {
    const { callers, maxLinks, maxHttpConnections } = ResourceLimits.create({ ...times, memoryMb: 250, maxDescriptors: 4_300 });
    assert.ok(callers.maxConnections >= 1_000 && callers.maxHeldBytes >= 8 * mebibyte && callers.maxServedBytes >= 4 * mebibyte);
    assert.ok(callers.maxConnections + maxLinks! + 2 * maxHttpConnections! <= 3_300);
});

// Guards against limits on a VM whose resources are not stated.
test("without stated resources there is no limit", () => {
    const { callers, maxLinks, maxHttpConnections } = ResourceLimits.create(times);
    assert.deepEqual([callers.maxConnections, callers.maxHeldBytes, maxLinks, maxHttpConnections], [Infinity, Infinity, undefined, undefined]);
});
