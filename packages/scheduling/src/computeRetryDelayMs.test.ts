import assert from "node:assert/strict";
import { test } from "node:test";
import { computeRetryDelayMs } from "./computeRetryDelayMs";

// Guards against callers that are refused together and come back together, before there is room for them.
test("refused callers come back after the expected wait, spread over as long again", () => {
    const delays = [0, 0.25, 0.5, 1].map(random => computeRetryDelayMs(400, random));
    assert.deepEqual(delays, [400, 500, 600, 800]);
    assert.ok(computeRetryDelayMs(0, 0) > 0);
});
