import { ManualClock } from "@vanillarouter/base/manualClock";
import { Operation } from "@vanillarouter/base/operation";
import { SeededRandom } from "@vanillarouter/base/seededRandom";
import { sleep } from "@vanillarouter/base/sleep";
import { Task } from "@vanillarouter/base/task";
import { SlotRequest } from "../slotRequest";
import { StatementScheduler } from "../statementScheduler";
import { ExperimentClass } from "./experimentClass";
import { ExperimentCounts } from "./experimentCounts";

/** Time allowed after the longest target for the last statements to end, in milliseconds. */
const settleTimeMs = 1_000;
/** Maximum interval at which the demand of a class is read again, in milliseconds. */
const demandCheckIntervalMs = 100;

function drawExponential(random: SeededRandom, mean: number): number {
    return -Math.log(1 - random.next()) * mean;
}

/**
 * Submits random arrivals to a scheduler on a manual clock and counts their outcomes. The same seed gives every scheduler
 * the same arrivals and service times.
 */
export class OverloadExperiment {
    private readonly clock = ManualClock.create();
    private readonly counts = new Map<string, ExperimentCounts>();
    private readonly scheduler: StatementScheduler;
    private isMeasuring = false;

    private constructor(
        private readonly slots: number,
        private readonly classes: readonly ExperimentClass[],
        createScheduler: (clock: ManualClock, slots: number) => StatementScheduler,
    ) {
        this.scheduler = createScheduler(this.clock, slots);
    }

    public static create(
        slots: number,
        classes: readonly ExperimentClass[],
        createScheduler: (clock: ManualClock, slots: number) => StatementScheduler,
    ): OverloadExperiment {
        return new OverloadExperiment(slots, classes, createScheduler);
    }

    /**
     * Runs for `warmUpMs`, then counts the arrivals during `measuredMs`. Returns counts by class name and by
     * `class/franchisee`.
     */
    public run(seed: number, warmUpMs: number, measuredMs: number): ReadonlyMap<string, ExperimentCounts> {
        const tasks = this.classes.map((workClass, index) => Task.start(this.generateArrivals(workClass, SeededRandom.create(seed * 1000 + index))));
        this.clock.advanceTo(warmUpMs);
        this.isMeasuring = true;
        this.clock.advanceTo(warmUpMs + measuredMs);
        for (const task of tasks) task.cancel();
        this.clock.advance(Math.max(...this.classes.map(workClass => workClass.targetMs)) + settleTimeMs);
        return this.counts;
    }

    private *generateArrivals(workClass: ExperimentClass, random: SeededRandom): Operation<void> {
        for (;;) {
            const demand = workClass.demandAt?.(this.clock.now()) ?? workClass.ordinaryDemand;
            const intervalMs = demand <= 0 ? Infinity : workClass.meanServiceMs / (demand * this.slots);
            const waitMs = drawExponential(random, intervalMs);
            yield* sleep(this.clock, Math.min(waitMs, demandCheckIntervalMs));
            if (waitMs <= demandCheckIntervalMs) {
                Task.start(this.submitRequest(workClass, this.drawServiceMs(workClass, random), this.drawFranchisee(workClass, random)));
            }
        }
    }

    private drawServiceMs(workClass: ExperimentClass, random: SeededRandom): number {
        const isLong = random.next() < (workClass.longFraction ?? 0);
        const serviceMs = workClass.meanServiceMs / 2 + drawExponential(random, workClass.meanServiceMs / 2);
        return isLong ? serviceMs * (workClass.longFactor ?? 1) : serviceMs;
    }

    private drawFranchisee(workClass: ExperimentClass, random: SeededRandom): string {
        const count = workClass.franchisees ?? 50;
        const floodFactor = workClass.floodFactor ?? 1;
        // Negative points belong to the first franchisee, which sends `floodFactor` times as much as each of the others.
        const point = random.next() * (count - 1 + floodFactor) - floodFactor;
        return point < 0 ? "f0" : `f${1 + Math.floor(point)}`;
    }

    private *submitRequest(workClass: ExperimentClass, serviceMs: number, franchisee: string): Operation<void> {
        const arrivedAt = this.clock.now();
        const deadline = arrivedAt + workClass.targetMs;
        const req: SlotRequest = { className: workClass.name, rank: workClass.rank, franchisee, arrivedAt, deadline, afterSlotMs: 0, continuesWork: false };
        const requestCounts = this.isMeasuring ? [this.getOrCreateCounts(workClass.name), this.getOrCreateCounts(`${workClass.name}/${franchisee}`)] : [];
        for (const counts of requestCounts) counts.offered++;
        let hasRun = false;
        const clock = this.clock;
        const result = yield* this.scheduler.run(req, function*() {
            hasRun = true;
            yield* sleep(clock, serviceMs);
        });
        const isInTime = clock.now() <= deadline;
        for (const counts of requestCounts) {
            if (!result.ok) counts.refused++;
            else if (isInTime) counts.inTime++;
            else counts.late++;
            if (!result.ok && hasRun) counts.refusedAfterRun++;
        }
    }

    private getOrCreateCounts(key: string): ExperimentCounts {
        let counts = this.counts.get(key);
        if (counts === undefined) {
            counts = { offered: 0, inTime: 0, late: 0, refused: 0, refusedAfterRun: 0 };
            this.counts.set(key, counts);
        }
        return counts;
    }
}
