import { RandomSource } from "@vanillarouter/base/randomSource";
import { SeededRandom } from "@vanillarouter/base/seededRandom";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ExpectedCostChooser } from "./expectedCostChooser";
import { FailureHistory } from "./failureHistory";
import { OthersLoad } from "./othersLoad";
import { SmallestCostChooser } from "./smallestCostChooser";
import { LoadReplay } from "./testing/loadReplay";
import { LoadScenario } from "./testing/loadScenario";
import { LoadScenarios } from "./testing/loadScenarios";
import { UpstreamCandidate } from "./upstreamCandidate";
import { UpstreamChooser } from "./upstreamChooser";

const seeds = [1, 2, 3];
const replayMs = 20_000;
/** Difference in waits by which replays with other seeds differ, in milliseconds. */
const seedSpreadMs = 4;
const seedSpreadPart = 1.1;

function measure(
    scenario: LoadScenario,
    createChooser: (random: RandomSource) => UpstreamChooser,
): { readonly p99: number; readonly wastedPart: number; readonly failed: number; } {
    const results = seeds.map(seed => LoadReplay.create(scenario, createChooser, seed).run(replayMs));
    return {
        p99: results.reduce((sum, result) => sum + result.p99, 0) / seeds.length,
        failed: results.reduce((sum, result) => sum + result.failedAttempts, 0),
        wastedPart: results.reduce((sum, result) => sum + result.wastedPart, 0) / seeds.length,
    };
}

function createCandidate(fields: Partial<UpstreamCandidate>): UpstreamCandidate {
    return {
        id: "u",
        slots: 4,
        ownInFlight: 0,
        expectedOthersBusy: 0,
        responseMs: 10,
        consecutiveFailures: 0,
        failedPart: 0,
        readiness: 1,
        preferencePenalty: 0,
        tier: 0,
        ...fields,
    };
}

function choose(...candidates: readonly UpstreamCandidate[]): string {
    return ExpectedCostChooser.create(SeededRandom.create(1)).choose(candidates)!.id;
}

// Guards against upstreams that are overloaded in turn while others are idle, at any number of VMs and age of their news.
test("with expected loads no replayed load waits longer or leaves more slots unused than with a VM's own load only, and those of a group wait less", () => {
    for (const [name, scenario] of Object.entries(LoadScenarios)) {
        const expected = measure(scenario, random => ExpectedCostChooser.create(random));
        const own = measure(scenario, random => SmallestCostChooser.create(random));
        assert.ok(expected.p99 <= own.p99 * seedSpreadPart + seedSpreadMs, `${name}: 99% wait ${expected.p99} ms, own load ${own.p99} ms`);
        if (scenario.isGroup) assert.ok(expected.p99 < own.p99, `${name}: 99% wait ${expected.p99} ms, own load ${own.p99} ms`);
        if (scenario.failingPart > 0) assert.ok(expected.failed < own.failed, `${name}: ${expected.failed} attempts failed, own load ${own.failed}`);
        // Where the upstreams differ, slots of the worse one are left unused on purpose.
        if (scenario.isGroup || scenario.isLastSlow || scenario.failingPart > 0 || scenario.outage !== undefined) continue;
        assert.ok(expected.wastedPart <= own.wastedPart * seedSpreadPart + 0.01, `${name}: ${expected.wastedPart} unused, own load ${own.wastedPart}`);
    }
});

// Guards against decisions by statuses that say nothing about the present load.
test("a status counts for less the older it is, and without one only this VM's own statements count", () => {
    const others = OthersLoad.create();
    assert.deepEqual([others.computeAgeMs(0), others.estimate(0, 3, 0), others.estimate(2, 1, 0)], [undefined, 0, 0]);
    others.observe(4, 4, 1, 0);
    const estimates = [0, 10, 100, 1_000].map(now => others.estimate(0, 3, now));
    assert.ok(estimates.every((estimate, index) => estimate > 0 && (index === 0 || estimate < estimates[index - 1]!)), String(estimates));
    assert.ok(estimates[0]! <= 3 && estimates[3]! < 0.01);
    for (const busySlots of [Number.NaN, -1]) others.observe(busySlots, 4, 0, 2_000);
    assert.equal(others.computeAgeMs(2_000), 2_000);
});

// Guards against reads that leave their zone or use the primary while the preferred upstream has room, and ones that queue there when it has none.
test("the preferred upstream serves unless it is busier, and one of a lower tier serves only alone", () => {
    const preferred = createCandidate({ id: "preferred" });
    const other = createCandidate({ id: "other", preferencePenalty: 0.6 });
    assert.equal(choose(other, preferred), "preferred");
    assert.equal(choose(other, { ...preferred, ownInFlight: 2, expectedOthersBusy: 2 }), "other");
    assert.equal(choose({ ...preferred, tier: 1 }, { ...other, ownInFlight: 30 }), "other");
});

// Guards against an upstream that fails part of its requests although others succeed, and against one that is avoided long after it has failed.
test("failures raise an upstream's cost although responses arrive in between, and their effect fades", () => {
    const history = FailureHistory.create();
    for (let now = 0; now < 500; now += 100) {
        history.recordResult(true, now);
        history.recordResult(false, now + 50);
    }
    const healthy = createCandidate({ id: "healthy", ownInFlight: 4 });
    const describe = (now: number): UpstreamCandidate =>
        createCandidate({ id: "failing", failedPart: history.computeFailedPart(now), readiness: history.computeReadiness(now) });
    assert.equal(choose(healthy, describe(500)), "healthy");
    assert.equal(choose(healthy, describe(5_000)), "failing");
});

// Guards against all new work going at once to an upstream that comes back after an outage.
test("an upstream that responds again after an outage gets back to its share within seconds, step by step", () => {
    const history = FailureHistory.create();
    for (let now = 0; now < 5_000; now += 500) history.recordLostResponse(now);
    history.recordResponse(10_000);
    const readiness = [0, 500, 1_000, 1_500, 2_000, 10_000].map(delayMs => history.computeReadiness(10_000 + delayMs));
    assert.ok(readiness[0]! <= 0.1 && readiness[4] === 1 && readiness[5] === 1, String(readiness));
    assert.ok(readiness.slice(1, 5).every((value, index) => value > readiness[index]!));
    const loaded = createCandidate({ id: "loaded", ownInFlight: 3 });
    assert.equal(choose(loaded, createCandidate({ id: "returned", ownInFlight: 1, readiness: readiness[0]! })), "loaded");
    assert.equal(choose(loaded, createCandidate({ id: "returned", ownInFlight: 1, readiness: readiness[4]! })), "returned");
});
