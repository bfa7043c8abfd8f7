import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { SystemClock } from "./systemClock";

// Guards against a timeout of weeks in a configuration that ends every statement at once.
test("a timer with a very long delay does not fire at once", async () => {
    let fired = 0;
    const cancels = [2 ** 31, 1e12, Number.MAX_VALUE].map(delayMs => SystemClock.create().startTimer(delayMs, () => fired++));
    await wait(30);
    for (const cancel of cancels) cancel();
    assert.equal(fired, 0);
});
