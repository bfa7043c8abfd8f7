import { SeededRandom } from "@vanillarouter/base/seededRandom";
import { writeSync } from "node:fs";
import { ExpectedCostChooser } from "../expectedCostChooser";
import { SmallestCostChooser } from "../smallestCostChooser";
import { UpstreamChooser } from "../upstreamChooser";
import { BetterOfTwoChooser } from "./betterOfTwoChooser";
import { FreeCapacityChooser } from "./freeCapacityChooser";
import { LoadReplay } from "./loadReplay";
import { LoadScenarios } from "./loadScenarios";

const durationMs = 20_000;
const rules: Readonly<Record<string, (random: SeededRandom) => UpstreamChooser>> = {
    "smallest cost": random => SmallestCostChooser.create(random),
    "better of two": random => BetterOfTwoChooser.create(random),
    "free capacity": random => FreeCapacityChooser.create(random),
    "expected cost": random => ExpectedCostChooser.create(random),
};

/** Prints what each rule measures in each scenario. Arguments: number of seeds, substring of the names of the scenarios to run. */
const seeds = Number(process.argv[2] ?? 3);
const filter = process.argv[3] ?? "";
for (const [name, scenario] of Object.entries(LoadScenarios)) {
    if (!name.includes(filter)) continue;
    for (const [label, createChooser] of Object.entries(rules)) {
        const results = Array.from({ length: seeds }, (_, index) => LoadReplay.create(scenario, createChooser, index + 1).run(durationMs));
        const average = (read: (result: typeof results[number]) => number): number => results.reduce((sum, result) => sum + read(result), 0) / seeds;
        const columns = [
            average(result => result.spread).toFixed(2),
            `${(100 * average(result => result.wastedPart)).toFixed(1)}%`,
            ...[average(result => result.p50), average(result => result.p99), average(result => result.p999)].map(value => value.toFixed(0)),
            average(result => result.returnP99).toFixed(0),
            average(result => result.writeP99).toFixed(0),
            average(result => result.failedAttempts).toFixed(0),
        ];
        writeSync(1, `${name} | ${label} | ${columns.join(" | ")}\n`);
    }
}
