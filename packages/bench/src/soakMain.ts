import { cac } from "cac";
import { rmSync } from "node:fs";
import { runSoak } from "./soak/runSoak";

const failureExitCode = 1;

async function soak(firstSeed: number, count: number, vms: number, seconds: number, restores: number): Promise<void> {
    let failed = 0;
    for (let seed = firstSeed; seed < firstSeed + count; seed++) {
        const report = await runSoak(seed, vms, seconds * 1_000, restores);
        const { injected, ...summary } = report;
        process.stdout.write(`${JSON.stringify(summary)}\n`);
        if (report.faults.length === 0) {
            rmSync(report.folder, { recursive: true });
            continue;
        }
        failed++;
        process.stdout.write(`${injected.map(line => `    ${line}`).join("\n")}\n`);
    }
    process.stdout.write(`${count - failed} passed, ${failed} failed\n`);
    process.exit(failed === 0 ? 0 : failureExitCode);
}

const program = cac("soak");
program.option("--seed <number>", "First seed", { default: 1 });
program.option("--count <number>", "Number of seeds, one after another", { default: 1 });
program.option("--vms <number>", "VMs, each a process of its own", { default: 4 });
program.option("--seconds <number>", "How long faults are injected for each seed", { default: 10 });
program.option("--restores <number>", "How often the store comes back from a backup for each seed", { default: 0 });
program.help();
program.version("0.1.0");
const { options } = program.parse();
if (options["help"] !== true && options["version"] !== true) {
    void soak(Number(options["seed"]), Number(options["count"]), Number(options["vms"]), Number(options["seconds"]), Number(options["restores"]));
}
