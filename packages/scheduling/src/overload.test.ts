import { ManualClock } from "@vanillarouter/base/manualClock";
import { Rank } from "@vanillarouter/base/rank";
import * as assert from "node:assert/strict";
import { test } from "node:test";
import { OrdinaryShares } from "./ordinaryShares";
import { SlotCount } from "./slotCount";
import { SlotScheduler } from "./slotScheduler";
import { StatementScheduler } from "./statementScheduler";
import { ExperimentClass } from "./testing/experimentClass";
import { ExperimentCounts } from "./testing/experimentCounts";
import { FifoScheduler } from "./testing/fifoScheduler";
import { OverloadExperiment } from "./testing/overloadExperiment";
import { OverloadScenarios } from "./testing/overloadScenarios";

/** Minimum fraction of requests served in time, for classes other than the surging one and for urgent classes. */
const minServedFraction = 0.95;
const minUrgentServedFraction = 0.999;
/** Surges begin at 15 s, so the measured period includes their onset. */
const warmUpMs = 15_000;
const measuredMs = 8_000;
const seeds = [1, 2];

type Counts = ReadonlyMap<string, ExperimentCounts>;

function runScenario(name: string, seed: number, create: (clock: ManualClock, slots: number) => StatementScheduler): Counts {
    const { slots, classes } = OverloadScenarios[name]!;
    return OverloadExperiment.create(slots, classes, create).run(seed, warmUpMs, measuredMs);
}

const runSlotScheduler = (name: string, seed: number): Counts => runScenario(name, seed, (clock, slots) => SlotScheduler.create(clock, slots));
const runFifo = (name: string, seed: number): Counts => runScenario(name, seed, (_, slots) => FifoScheduler.create(slots));

function getServedFraction(counts: Counts, name: string): number {
    const classCounts = counts.get(name)!;
    return classCounts.inTime / classCounts.offered;
}

function findOtherClasses(scenario: string, surging: string): readonly ExperimentClass[] {
    return OverloadScenarios[scenario]!.classes.filter(workClass => workClass.name !== surging);
}

const surges: readonly (readonly [string, string])[] = [
    ["racja catalogue x3", "catalogue"],
    ["racja catalogue x10", "catalogue"],
    ["racja orders x3", "orders"],
    ["racja orders x10", "orders"],
    ["racja orders x10 from the start", "orders"],
    ["racja reconciliation x10", "reconciliation"],
    ["meethi counts x3", "counts"],
    ["meethi counts x10", "counts"],
    ["meethi restocks x3", "restocks"],
    ["meethi restocks x10", "restocks"],
    ["meethi restocks x10 from the start", "restocks"],
    ["racja orders ramp x10", "orders"],
    ["racja uneven and orders x10", "orders"],
    ["racja sparse and orders x7", "orders"],
    ["meethi restocks alternate x3", "restocks"],
];

for (const [scenario, surging] of surges) {
    test(`overload: ${scenario}: 95% of other classes' requests, 99.9% of urgent ones, are served in time; a FIFO scheduler fails this`, () => {
        for (const seed of seeds) {
            const counts = runSlotScheduler(scenario, seed);
            for (const workClass of findOtherClasses(scenario, surging)) {
                const minFraction = workClass.rank === Rank.Urgent ? minUrgentServedFraction : minServedFraction;
                const servedFraction = getServedFraction(counts, workClass.name);
                assert.ok(servedFraction >= minFraction, `seed ${seed}: ${workClass.name} ${servedFraction}`);
            }
            for (const [name, classCounts] of counts) assert.equal(classCounts.refusedAfterRun, 0, name);
        }
        const fifo = runFifo(scenario, 1);
        assert.ok(findOtherClasses(scenario, surging).some(workClass => !(getServedFraction(fifo, workClass.name) >= minServedFraction)));
    });
}

test("overload: a surging urgent class does not spend its credit from unclaimed slot time ahead of lower ranks", () => {
    const { slots, classes } = OverloadScenarios["racja sparse and orders x7"]!;
    const surging = classes.map(workClass => workClass.rank === Rank.Urgent ? { ...workClass, demandAt: () => 7 } : { ...workClass, targetMs: 500 });
    const measuredShares = { upstream: "a", slotTimeByClass: { orders: 600, reconciliation: 312 }, ageMs: 0 };
    for (const seed of seeds) {
        const experiment = OverloadExperiment.create(slots, surging, (clock, count) => SlotScheduler.create(clock, count, measuredShares));
        const servedFraction = getServedFraction(experiment.run(seed, 0, 3_000), "reconciliation");
        assert.ok(servedFraction >= minServedFraction, `seed ${seed}: ${servedFraction}`);
    }
});

test("overload: urgent demand within the capacity is served in time during a surge of the lowest rank", () => {
    for (const seed of seeds) {
        const servedFraction = getServedFraction(runSlotScheduler("racja orders 0.8 and catalogue x10", seed), "orders");
        assert.ok(servedFraction >= minUrgentServedFraction, `seed ${seed}: ${servedFraction}`);
    }
});

for (const scenario of ["racja ordinary", "meethi ordinary", "meethi restock bursts", "racja after orders x10", "meethi after restocks x10"]) {
    test(`overload: ${scenario}: no request is refused without an overload`, () => {
        for (const seed of seeds) {
            for (const [name, classCounts] of runSlotScheduler(scenario, seed)) assert.equal(classCounts.refused, 0, `seed ${seed}: ${name}`);
        }
    });
}

test("long statements of a lower rank do not delay urgent requests past their targets; a FIFO scheduler fails this", () => {
    for (const scenario of ["meethi long counts", "racja long catalogue x3"]) {
        for (const seed of seeds) {
            const counts = runSlotScheduler(scenario, seed);
            const urgent = OverloadScenarios[scenario]!.classes.filter(workClass => workClass.rank === Rank.Urgent);
            for (const workClass of urgent) {
                assert.ok(
                    getServedFraction(counts, workClass.name) >= minUrgentServedFraction,
                    `seed ${seed}: ${workClass.name} ${getServedFraction(counts, workClass.name)}`,
                );
            }
        }
    }
    assert.ok(getServedFraction(runFifo("meethi long counts", 1), "deductions") < minUrgentServedFraction);
});

test("fairness: a franchisee that overloads its class does not degrade service for the other franchisees of the class", () => {
    const counts = runSlotScheduler("racja one franchisee floods", 1);
    let offered = 0;
    let inTime = 0;
    for (const [key, franchiseeCounts] of counts) {
        if (!key.startsWith("catalogue/") || key === "catalogue/f0") continue;
        offered += franchiseeCounts.offered;
        inTime += franchiseeCounts.inTime;
    }
    assert.ok(inTime / offered >= minServedFraction, `${inTime} of ${offered}`);
});

/** Records constant demand, given in slots, for a period of time. */
function recordConstantDemand(
    clock: ManualClock,
    shares: OrdinaryShares,
    demand: Readonly<Record<string, number>>,
    durationMs: number,
    isOverloaded: boolean,
): void {
    const stepMs = 100;
    for (let time = 0; time < durationMs; time += stepMs) {
        clock.advance(stepMs);
        for (const [name, slots] of Object.entries(demand)) shares.recordDemand(name, slots * stepMs);
        shares.update(isOverloaded);
    }
}

test("ordinary shares: an overload raises a share slowly and reduces no other share; shares follow slow growth of demand", () => {
    const clock = ManualClock.create();
    const shares = OrdinaryShares.create(clock, SlotCount.create(2));
    recordConstantDemand(clock, shares, { restocks: 0.4, counts: 0.4 }, 60_000, false);
    const ordinary = shares.exportShares();
    recordConstantDemand(clock, shares, { restocks: 20, counts: 0.4 }, 3_600_000, true);
    const overloaded = shares.exportShares();
    assert.ok(overloaded["restocks"]! < 1.2 * ordinary["restocks"]!, `${ordinary["restocks"]} to ${overloaded["restocks"]} in an hour`);
    assert.ok(overloaded["counts"]! >= 0.99 * ordinary["counts"]!);
    for (let hour = 1; hour <= 4; hour++) recordConstantDemand(clock, shares, { restocks: 0.4, counts: 0.4 + 0.1 * hour }, 3_600_000, false);
    const grown = shares.exportShares();
    assert.ok(grown["counts"]! >= 800, `counts ${grown["counts"]} after growing to 0.8 slots in 4 hours`);
});

test("ordinary shares survive a change of owner during an overload", () => {
    const clock = ManualClock.create();
    const first = OrdinaryShares.create(clock, SlotCount.create(2));
    recordConstantDemand(clock, first, { deductions: 0.4, restocks: 0.4, counts: 0.4 }, 60_000, false);
    const measuredShares = { upstream: "a", slotTimeByClass: first.exportShares(), ageMs: 0 };
    const second = OrdinaryShares.create(clock, SlotCount.create(2), measuredShares);
    recordConstantDemand(clock, second, { deductions: 0.4, restocks: 20, counts: 0.4 }, 60_000, true);
    assert.ok(second.getEntitlement("restocks") < 0.8, `restocks ${second.getEntitlement("restocks")}`);
    assert.ok(second.getEntitlement("counts") >= 0.4, `counts ${second.getEntitlement("counts")}`);
});
