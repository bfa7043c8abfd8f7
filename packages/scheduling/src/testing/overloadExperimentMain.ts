import { ManualClock } from "@vanillarouter/base/manualClock";
import { writeSync } from "node:fs";
import { SlotScheduler } from "../slotScheduler";
import { StatementScheduler } from "../statementScheduler";
import { FifoScheduler } from "./fifoScheduler";
import { OverloadExperiment } from "./overloadExperiment";
import { OverloadScenarios } from "./overloadScenarios";

/** Arrivals before this time are not counted, in milliseconds. */
const warmUpMs = 15_000;
const measuredMs = 10_000;

const schedulers: Readonly<Record<string, (clock: ManualClock, slots: number) => StatementScheduler>> = {
    naive: (_, slots) => FifoScheduler.create(slots),
    ours: (clock, slots) => SlotScheduler.create(clock, slots),
};

function percent(part: number, whole: number): string {
    return whole === 0 ? "-" : (100 * part / whole).toFixed(2);
}

/**
 * Prints, for each scenario and scheduler, the fraction of each class's requests that was served in time. Arguments: seed,
 * substring of the names of the scenarios to run, name of the only scheduler to run.
 */
const seed = Number(process.argv[2] ?? 1);
const scenarioFilter = process.argv[3] ?? "";
const schedulerFilter = process.argv[4];
for (const [name, { slots, classes }] of Object.entries(OverloadScenarios)) {
    if (!name.includes(scenarioFilter)) continue;
    for (const [label, createScheduler] of Object.entries(schedulers)) {
        if (schedulerFilter !== undefined && label !== schedulerFilter) continue;
        const startedAt = performance.now();
        const counts = OverloadExperiment.create(slots, classes, createScheduler).run(seed, warmUpMs, measuredMs);
        const parts = classes.map(workClass => {
            const classCounts = counts.get(workClass.name)!;
            return `${workClass.name} ${percent(classCounts.inTime, classCounts.offered)}% (late ${percent(classCounts.late, classCounts.offered)}%)`;
        });
        const seconds = ((performance.now() - startedAt) / 1000).toFixed(1);
        writeSync(1, `${name} | ${label} | ${parts.join(" | ")} | ${seconds} s\n`);
    }
}
