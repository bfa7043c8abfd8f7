import { Task } from "@vanillarouter/base/task";
import { cac } from "cac";
import { CapacitySection } from "./capacity/capacitySection";
import { formatSection } from "./capacity/formatSection";
import { measureCallers } from "./capacity/measureCallers";
import { measureConfiguration } from "./capacity/measureConfiguration";
import { measureLinks } from "./capacity/measureLinks";
import { measureMembership } from "./capacity/measureMembership";
import { measureOwners } from "./capacity/measureOwners";
import { measureRelays } from "./capacity/measureRelays";
import { measureRoles } from "./capacity/measureRoles";

interface CapacityOptions {
    readonly json?: boolean;
    readonly quick?: boolean;
}

async function measure(options: CapacityOptions): Promise<void> {
    const quick = options.quick === true;
    const sections: CapacitySection[] = [];
    const add = (section: CapacitySection): void => {
        sections.push(section);
        process.stdout.write(`${formatSection(section)}\n`);
    };
    add(measureMembership(quick ? [10, 30] : [10, 30, 100, 200, 300]));
    add(measureRelays(quick ? [[2, 4]] : [[2, 4], [4, 4], [8, 4], [15, 4], [4, 16], [4, 40]]));
    add(measureConfiguration(quick ? [100, 200] : [575, 1_150, 2_300, 4_600, 9_200]));
    add(measureRoles(quick ? [[150, 100]] : [[150, 1_000], [750, 2_300], [1_500, 4_600], [4_400, 9_200]]));
    for (const section of await measureLinks(quick ? [10, 20] : [100, 200, 400, 600], quick ? 500 : 10_000)) add(section);
    add(await Task.start(measureCallers(quick ? [50, 100] : [250, 500, 1_000, 2_000])).toPromise());
    add(await Task.start(measureOwners(quick ? [1, 2] : [1, 2, 4, 8])).toPromise());
    if (options.json === true) process.stdout.write(`${JSON.stringify({ sections })}\n`);
}

const program = cac("capacity");
program.command("", "Measure the slopes behind docs/CAPACITY.md on this machine")
    .option("--json", "Print one JSON object as the last line")
    .option("--quick", "Few and small points, to try the command")
    .action((options: CapacityOptions) =>
        measure(options).then(() => process.exit(0), (err: unknown) => {
            process.stderr.write(`capacity: ${String(err)}\n`);
            process.exit(1);
        })
    );
program.help();
program.version("0.1.0");
try {
    program.parse();
}
catch (err) {
    process.stderr.write(`capacity: ${err instanceof Error ? err.message : String(err)}\n`);
    process.exit(2);
}
