#!/usr/bin/env node
import { formatDiagnostic } from "@vanillarouter/base/formatDiagnostic";
import { cac } from "cac";
import { z } from "zod";
import { Diagnostics } from "./diagnostics";
import { GroupControlServer } from "./groupControlServer";
import { GroupListener } from "./groupListener";
import { GroupUpstream } from "./groupUpstream";

const version = "0.1.0";
const usageExitCode = 2;
const port = z.coerce.number().int().min(0).max(65_535);
const milliseconds = z.coerce.number().min(0).max(600_000);
const optionsSchema = z.object({
    id: z.coerce.string().min(1),
    port,
    peerPort: port,
    controlPort: port,
    user: z.coerce.string(),
    password: z.coerce.string(),
    slots: z.coerce.number().int().min(1).max(1000),
    maxConnections: z.coerce.number().int().min(1).max(10_000),
    connectMs: milliseconds,
    statementMs: milliseconds,
    applyLagMs: milliseconds,
    primary: z.coerce.string().min(1).optional(),
    items: z.coerce.number().int().min(0).max(1_000_000),
});

function reportInvalidOption(option: string, problem: string): void {
    const diagnostic = Diagnostics.groupOptionInvalid;
    process.stderr.write(`[vr-${diagnostic.code}] ${formatDiagnostic(diagnostic, [option, problem])}\n`);
}

async function serve(options: z.infer<typeof optionsSchema>): Promise<void> {
    const upstream = GroupUpstream.create(options);
    const listener = GroupListener.create(upstream);
    const control = GroupControlServer.create(upstream, listener);
    const ports = {
        port: await listener.listen(options.port),
        peerPort: await upstream.replication.listen(options.peerPort),
        controlPort: await control.listen(options.controlPort),
    };
    process.on("SIGTERM", () => process.exit(0));
    process.stdout.write(`ready ${JSON.stringify({ id: options.id, ...ports })}\n`);
}

function main(): void {
    const cli = cac("vr-group");
    cli.command("", "In-memory stand-in for one upstream of a database group, on 127.0.0.1")
        .option("--id <id>", "Upstream id")
        .option("--port <port>", "Port for MySQL clients; 0 lets the system choose", { default: 0 })
        .option("--peer-port <port>", "Port for replication", { default: 0 })
        .option("--control-port <port>", "Port of the HTTP control server for faults and the execution record", { default: 0 })
        .option("--user <user>", "User that may log in", { default: "vr" })
        .option("--password <password>", "Password of that user", { default: "vr" })
        .option("--slots <count>", "Maximum number of statements executed at a time", { default: 5 })
        .option("--max-connections <count>", "Maximum number of client connections", { default: 30 })
        .option("--connect-ms <ms>", "Time to open a connection", { default: 10 })
        .option("--statement-ms <ms>", "Execution time of a statement", { default: 1 })
        .option("--apply-lag-ms <ms>", "Time between receiving and applying a log entry on a replica", { default: 0 })
        .option("--primary <id>", "Id of the upstream that is primary in term 1; if absent, the group starts without a primary")
        .option("--items <count>", "Number of items in the table stock at the start", { default: 100 })
        .action((values: unknown) => {
            const parsed = optionsSchema.safeParse(values);
            if (parsed.success) return serve(parsed.data);
            for (const issue of parsed.error.issues) reportInvalidOption(issue.path.join("."), issue.message);
            process.exit(usageExitCode);
        });
    cli.help();
    cli.version(version);
    try {
        cli.parse();
    }
    catch (err) {
        reportInvalidOption("", (err as Error).message);
        process.exit(usageExitCode);
    }
}

main();
