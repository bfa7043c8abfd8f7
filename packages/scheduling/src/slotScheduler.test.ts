import { Failure } from "@vanillarouter/base/failure";
import { ManualClock } from "@vanillarouter/base/manualClock";
import { Rank } from "@vanillarouter/base/rank";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Signal } from "@vanillarouter/base/signal";
import { sleep } from "@vanillarouter/base/sleep";
import { Task } from "@vanillarouter/base/task";
import * as fc from "fast-check";
import * as assert from "node:assert/strict";
import { test } from "node:test";
import { Result } from "ts-results";
import { SlotRequest } from "./slotRequest";
import { SlotScheduler } from "./slotScheduler";
import { StatementScheduler } from "./statementScheduler";
import { FifoScheduler } from "./testing/fifoScheduler";

interface Arrival {
    readonly name: string;
    readonly rank: Rank;
    readonly franchisee?: string;
    readonly timeoutMs?: number;
    readonly serviceMs?: number;
}

interface SchedulerTestBed {
    readonly clock: ManualClock;
    readonly started: string[];
    readonly results: Map<string, Result<void, Failure>>;
    readonly submit: (arrival: Arrival) => Task<unknown>;
}

function createTestBed(createScheduler: (clock: ManualClock) => StatementScheduler): SchedulerTestBed {
    const clock = ManualClock.create();
    const scheduler = createScheduler(clock);
    const started: string[] = [];
    const results = new Map<string, Result<void, Failure>>();
    const submit = (arrival: Arrival): Task<unknown> => {
        const arrivedAt = clock.now();
        const req: SlotRequest = {
            className: arrival.name.split(" ")[0]!,
            rank: arrival.rank,
            franchisee: arrival.franchisee ?? "f1",
            arrivedAt,
            deadline: arrivedAt + (arrival.timeoutMs ?? 10_000),
            afterSlotMs: 0,
            continuesWork: false,
        };
        const task = Task.start(scheduler.run(req, function*() {
            started.push(arrival.name);
            yield* sleep(clock, arrival.serviceMs ?? 5);
        }));
        task.onSettled(() => task.deliver(result => results.set(arrival.name, result), () => {}));
        return task;
    };
    return { clock, started, results, submit };
}

const slotScheduler = (slots: number) => (clock: ManualClock): StatementScheduler => SlotScheduler.create(clock, slots);
const fifoScheduler = (slots: number) => (): StatementScheduler => FifoScheduler.create(slots);

const rankOrder = [Rank.Urgent, Rank.Standard, Rank.Background];

/** Fills the slots, then submits arrivals in the given order and returns the order in which they started. */
function runAndGetOrder(create: (clock: ManualClock) => StatementScheduler, arrivals: readonly Arrival[]): readonly string[] {
    const bed = createTestBed(create);
    for (let index = 0; index < 2; index++) bed.submit({ name: `filler ${index}`, rank: Rank.Background });
    for (const arrival of arrivals) bed.submit(arrival);
    bed.clock.advance(5_000);
    return bed.started.slice(2);
}

const arrivalsArbitrary = fc.uniqueArray(
    fc.record({ rank: fc.constantFrom(...rankOrder), timeoutMs: fc.integer({ min: 2_000, max: 9_000 }) }),
    { minLength: 2, maxLength: 20, selector: arrival => arrival.timeoutMs },
).map(list => list.map((arrival, index) => ({ name: `${arrival.rank} ${index}`, rank: arrival.rank, timeoutMs: arrival.timeoutMs })));

function checkRankOrder(create: (clock: ManualClock) => StatementScheduler, arrivals: readonly Arrival[]): void {
    const expected = [...arrivals].sort((first, second) =>
        rankOrder.indexOf(first.rank) - rankOrder.indexOf(second.rank) || first.timeoutMs! - second.timeoutMs!
    );
    assert.deepEqual(runAndGetOrder(create, arrivals), expected.map(arrival => arrival.name));
}

const parameters = { seed: 20_261_204, numRuns: 200 };

test("ranks: statements start by rank, then by earliest deadline; a FIFO scheduler fails this", () => {
    fc.assert(fc.property(arrivalsArbitrary, arrivals => checkRankOrder(slotScheduler(2), arrivals)), parameters);
    const check = fc.check(fc.property(arrivalsArbitrary, arrivals => checkRankOrder(fifoScheduler(2), arrivals)), parameters);
    assert.equal(check.failed, true);
});

function findLastStartOfSmallFranchisee(create: (clock: ManualClock) => StatementScheduler): number {
    const bed = createTestBed(create);
    for (let index = 0; index < 200; index++) bed.submit({ name: `orders flood${index}`, rank: Rank.Urgent, franchisee: "flood" });
    for (let index = 0; index < 10; index++) bed.submit({ name: `orders small${index}`, rank: Rank.Urgent, franchisee: `small${index}` });
    bed.clock.advance(5_000);
    return bed.started.findLastIndex(name => name.includes("small"));
}

test("fairness: a franchisee that floods its class does not delay the others; with a FIFO scheduler it does", () => {
    assert.ok(
        findLastStartOfSmallFranchisee(slotScheduler(2)) < 30,
        `the last statement of a small franchisee started at index ${findLastStartOfSmallFranchisee(slotScheduler(2))}`,
    );
    assert.equal(findLastStartOfSmallFranchisee(fifoScheduler(2)), 209);
});

test("P5: a request that cannot meet its deadline is refused immediately as not run, and does not run later", () => {
    const bed = createTestBed(slotScheduler(2));
    for (let index = 0; index < 100; index++) bed.submit({ name: `orders ${index}`, rank: Rank.Urgent, timeoutMs: 100 });
    const refused = [...bed.results].filter(([, result]) => !result.ok).map(([name]) => name);
    assert.ok(refused.length >= 50, `${refused.length} refused before the clock advanced`);
    bed.clock.advance(5_000);
    for (const [name, result] of bed.results) {
        const hasStarted = bed.started.includes(name);
        assert.equal(hasStarted, result.ok, name);
        if (!result.ok) assert.equal(result.val.outcome, RunOutcome.DidNotRun);
    }
});

test("a cancelled request releases its queue place or slot, even if it is cancelled right after the slot was granted", () => {
    const arbitrary = fc.array(fc.record({ waitMs: fc.integer({ min: 0, max: 6 }), cancel: fc.integer({ min: 0, max: 30 }) }), { maxLength: 40 });
    fc.assert(
        fc.property(arbitrary, steps => {
            const bed = createTestBed(slotScheduler(2));
            const tasks: Task<unknown>[] = [];
            for (const [index, step] of steps.entries()) {
                tasks.push(bed.submit({ name: `orders ${index}`, rank: Rank.Urgent }));
                tasks[step.cancel]?.cancel();
                bed.clock.advance(step.waitMs);
            }
            bed.clock.advance(10_000);
            bed.submit({ name: "orders last1", rank: Rank.Urgent });
            bed.submit({ name: "orders last2", rank: Rank.Urgent });
            assert.deepEqual(bed.started.slice(-2), ["orders last1", "orders last2"], "both slots are free");
        }),
        parameters,
    );
});

test("a statement that holds locks starts even if the statements in all slots wait for these locks", () => {
    const clock = ManualClock.create();
    const scheduler = SlotScheduler.create(clock, 2);
    const unlocked = Signal.create<void>();
    const common = { className: "orders", rank: Rank.Urgent, franchisee: "f1", arrivedAt: 0, deadline: 1_000, afterSlotMs: 0 };
    const blocked = [1, 2].map(() => Task.start(scheduler.run({ ...common, continuesWork: false }, () => unlocked.wait())));
    const lockHolder = Task.start(scheduler.run({ ...common, continuesWork: true }, function*() {
        unlocked.notifyAll();
    }));
    clock.advance(100);
    assert.ok([...blocked, lockHolder].every(task => task.isSettled));
});

test("queue length is bounded, and work of the lowest rank is shed first", () => {
    const bed = createTestBed(slotScheduler(2));
    for (let index = 0; index < 3_000; index++) bed.submit({ name: `catalogue ${index}`, rank: Rank.Background, timeoutMs: 1e9 });
    for (let index = 0; index < 20; index++) bed.submit({ name: `orders ${index}`, rank: Rank.Urgent, timeoutMs: 1e9 });
    const refused = [...bed.results].filter(([, result]) => !result.ok).map(([name]) => name);
    assert.equal(refused.length, 3_020 - 2 - 1_024);
    assert.ok(refused.every(name => name.startsWith("catalogue")));
});

test("an estimate from a period of slow statements does not cause a class to be refused permanently", () => {
    const bed = createTestBed(slotScheduler(2));
    for (let index = 0; index < 20; index++) {
        bed.submit({ name: `orders slow${index}`, rank: Rank.Urgent, timeoutMs: 100, serviceMs: 400 });
        bed.clock.advance(500);
    }
    for (let index = 0; index < 100; index++) {
        bed.submit({ name: `orders fast${index}`, rank: Rank.Urgent, timeoutMs: 100, serviceMs: 2 });
        bed.clock.advance(10);
    }
    assert.equal(bed.started.filter(name => name.includes("fast")).length, 100);
});
