import { cac } from "cac";
import { rmSync } from "node:fs";
import { runSoak } from "./soak/runSoak";

const failureExitCode = 1;

async function soak(firstSeed: number, count: number, vms: number, seconds: number, restores: number, tenants: number): Promise<void> {
    let failed = 0;
    for (let seed = firstSeed; seed < firstSeed + count; seed++) {
        const report = await runSoak(seed, vms, seconds * 1_000, restores, tenants);
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
program.option("--tenants <number>", "Tenants whose keys the callers use; 0 if callers are not authenticated", { default: 3 });
program.help();
program.version("0.1.0");
const { options } = program.parse();
if (options["help"] !== true && options["version"] !== true) {
    const [seed, count, vms, seconds, restores, tenants] = ["seed", "count", "vms", "seconds", "restores", "tenants"].map(name => Number(options[name]));
    void soak(seed!, count!, vms!, seconds!, restores!, tenants!);
}
