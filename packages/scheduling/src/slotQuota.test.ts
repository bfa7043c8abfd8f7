import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SlotQuota } from "./slotQuota";

const statusIntervalMs = 100;

/** Lets every gateway use its whole quota for some rounds, each of which ends with a status. Returns the quotas of the last round. */
function useWholeQuotas(quotas: readonly SlotQuota[], slots: number, gateways: number, from: number, rounds: number): readonly number[] {
    let used: readonly number[] = [];
    for (let round = 0; round < rounds; round++) {
        const now = from + round * statusIntervalMs;
        used = quotas.map(quota => quota.compute(slots, gateways, now));
        const busySlots = Math.min(slots, used.reduce((sum, count) => sum + count, 0));
        for (const quota of quotas) quota.observe(busySlots, slots, now);
    }
    return used;
}

// Guards against gateways that together send an upstream much more than it runs, so that statements queue there in order of arrival.
test("gateways under a flood return to equal parts of the slots, however much they used before", () => {
    fc.assert(
        fc.property(fc.integer({ min: 1, max: 40 }), fc.integer({ min: 1, max: 8 }), (slots, gateways) => {
            const quotas = Array.from({ length: gateways }, () => SlotQuota.create());
            for (let now = 0; now < 5_000; now += statusIntervalMs) quotas.forEach(quota => quota.observe(0, slots, now));
            const used = useWholeQuotas(quotas, slots, gateways, 5_000, 60);
            const total = used.reduce((sum, count) => sum + count, 0);
            assert.ok(total >= slots && total < slots + 2 * gateways, `${total} of ${slots} slots`);
            assert.ok(used.every(count => count === used[0]));
        }),
        { seed: 20261204 },
    );
});

// Guards against slots that stay unused when one of the gateways has stopped.
test("a gateway uses the slots of one that stopped within a second, and gives them back when it returns", () => {
    const [first, second] = [SlotQuota.create(), SlotQuota.create()];
    assert.deepEqual(useWholeQuotas([first, second], 6, 2, 0, 10), [3, 3]);
    const [alone] = useWholeQuotas([first], 6, 2, 1_000, 10);
    assert.ok(alone! >= 5);
    assert.ok(useWholeQuotas([first, second], 6, 2, 2_000, 10).every(count => count <= 4));
});

// Guards against a quota that rests on an old status.
test("without a recent status a gateway uses twice its equal part, which is no less than two slots", () => {
    const quota = SlotQuota.create();
    for (let now = 0; now < 500; now += statusIntervalMs) quota.observe(0, 12, now);
    assert.equal(quota.compute(12, 4, 500), 8);
    assert.equal(quota.compute(12, 4, 5_000), 6);
    assert.equal(quota.compute(12, 50, 5_000), 4);
    assert.equal(quota.compute(1, 50, 5_000), 1);
});
