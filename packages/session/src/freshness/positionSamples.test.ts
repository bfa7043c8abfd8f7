import { Task } from "@vanillarouter/base/task";
import assert from "node:assert/strict";
import { test } from "node:test";
import { TestBed } from "../testing/testBed";

// Guards against reads of data older than the maximum age: a sample is valid only while it covers every commit older than that.
test("the oldest sample within the maximum age is used, and older samples are not", () => {
    const bed = TestBed.create();
    const samples = bed.group.positionSamples;
    samples.add(samples.readClock(), { term: 1, position: 1 });
    bed.clock.advanceTo(400);
    samples.add(samples.readClock(), { term: 1, position: 2 });
    bed.clock.advanceTo(900);
    assert.deepEqual(samples.findOldest(1_000), { coversUntil: 0, position: { term: 1, position: 1 } });
    assert.deepEqual(samples.findOldest(600), { coversUntil: 400, position: { term: 1, position: 2 } });
    assert.equal(samples.findOldest(300), undefined);
});

// Guards against stale reads after a suspension of the VM, which the monotonic clock does not count.
test("samples are dropped when the time of day shows a suspension or was set", () => {
    const bed = TestBed.create();
    for (const stepMs of [4_000, -4_000]) {
        bed.group.positionSamples.add(bed.group.positionSamples.readClock(), { term: 1, position: 5 });
        assert.ok(bed.group.positionSamples.findOldest(1_000) !== undefined);
        bed.timeOfDayOffsetMs += stepMs;
        assert.equal(bed.group.positionSamples.findOldest(1_000), undefined);
        bed.clock.advance(1);
    }
});

// Guards against stale reads after a suspension that begins while the primary's position is on its way: it dates from before the suspension.
test("a position that was requested before a suspension is not used after it", () => {
    const bed = TestBed.create();
    bed.group.primaryTracker.recordPrimary("u1", 1);
    const maxAgeMs = 1_000;
    const waiting = Task.start(bed.group.waitForFloor(maxAgeMs, bed.clock.now() + 100));
    bed.clock.advance(2);
    assert.equal(waiting.isSettled, false);
    bed.timeOfDayOffsetMs += 4_000;
    for (let step = 0; step < 20; step++) bed.clock.advance(1);
    assert.equal(bed.group.positionSamples.findOldest(maxAgeMs), undefined);
});
