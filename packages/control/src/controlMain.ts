#!/usr/bin/env node
import { createFailure } from "@vanillarouter/base/createFailure";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Task } from "@vanillarouter/base/task";
import { cac } from "cac";
import { userInfo } from "node:os";
import { Result } from "ts-results";
import { z } from "zod";
import { AdministrationClient } from "./administrationClient";
import { CommandFailure } from "./commandFailure";
import { CommandOutput } from "./commandOutput";
import { ControlCommands } from "./controlCommands";
import { Diagnostics } from "./diagnostics";
import { ExitCode } from "./exitCode";
import { runTrace } from "./runTrace";

const program = "vrctl";
const version = "0.1.0";
const defaultAddress = "http://127.0.0.1:7300";
const defaultTimeoutMs = 15_000;
const defaultHistoryLength = 50;

/**
 * Text option. `cac` converts numeric values to numbers unless the option has a list type, so text options are declared as
 * lists; the last value applies.
 */
const textOption = z.array(z.string()).transform(values => values[values.length - 1]).optional();
const integerOption = z.number().int().min(0).optional();
const optionsSchema = z.object({
    address: textOption,
    credential: textOption,
    author: textOption,
    expect: textOption,
    rank: textOption,
    targetMs: integerOption,
    maxAgeMs: integerOption,
    readOnly: z.boolean().optional(),
    limit: integerOption,
    timeoutMs: integerOption,
    json: z.boolean().optional(),
});
type Options = z.infer<typeof optionsSchema>;

function exitWithFailure(commandFailure: CommandFailure, asJson: boolean): never {
    const { code, message, outcome, details } = commandFailure.failure;
    const detailsText = details === undefined ? "" : `\n${JSON.stringify(details, undefined, 4)}`;
    if (asJson) process.stdout.write(JSON.stringify({ error: { code, message, outcome, details } }) + "\n");
    else process.stderr.write(`${program}: [vr-${code}] ${message} (${outcome})${detailsText}\n`);
    process.exit(commandFailure.exitCode);
}

function exitWithUsageError(message: string): never {
    exitWithFailure({ failure: createFailure(Diagnostics.usageInvalid, RunOutcome.DidNotRun, message), exitCode: ExitCode.Usage }, false);
}

function readOptions(rawOptions: unknown): Options {
    const parsed = optionsSchema.safeParse(rawOptions);
    if (parsed.success) return parsed.data;
    return exitWithUsageError(parsed.error.issues.map(issue => `--${issue.path.join(".")}: ${issue.message}`).join("; "));
}

function createClient(options: Options): AdministrationClient {
    const address = options.address ?? process.env["VR_ADDRESS"] ?? defaultAddress;
    if (!URL.canParse(address)) exitWithUsageError(`--address: ${address} is not a URL`);
    const credential = options.credential ?? process.env["VR_CREDENTIAL"];
    if (credential === undefined) exitWithUsageError("specify --credential or set VR_CREDENTIAL");
    return AdministrationClient.create({
        address,
        credential,
        author: options.author ?? userInfo().username,
        timeoutMs: options.timeoutMs ?? defaultTimeoutMs,
    });
}

type CommandRunner = (commands: ControlCommands, options: Options) => Operation<Result<CommandOutput, CommandFailure>>;

async function runCommand(rawOptions: unknown, runner: CommandRunner): Promise<void> {
    const options = readOptions(rawOptions);
    const output = await Task.start(runner(ControlCommands.create(createClient(options)), options)).toPromise();
    if (output.err) exitWithFailure(output.val, options.json === true);
    process.stdout.write(options.json === true ? JSON.stringify(output.val.value) + "\n" : output.val.text);
}

function selectClassesRunner(action: string, name: string | undefined): CommandRunner {
    if (action === "list" && name === undefined) return commands => commands.listClasses();
    if (action === "set" && name !== undefined) {
        return (commands, { rank, targetMs, maxAgeMs, readOnly, expect }) => commands.setClass(name, { rank, targetMs, maxAgeMs, readOnly, expect });
    }
    if (action === "delete" && name !== undefined) return (commands, options) => commands.deleteClass(name, options.expect);
    return exitWithUsageError("use classes list, classes set NAME or classes delete NAME");
}

function selectConfigRunner(action: string, file: string | undefined): CommandRunner {
    if (action === "get" && file === undefined) return commands => commands.readConfiguration();
    if (action === "set" && file !== undefined) return commands => commands.changeConfiguration(file);
    if (action === "history" && file === undefined) return (commands, options) => commands.readHistory(options.limit ?? defaultHistoryLength);
    return exitWithUsageError("use config get, config set FILE or config history");
}

const cli = cac(program);
cli.option("--address <url>", `Administration API of a VM; default is VR_ADDRESS or ${defaultAddress}`, { type: [String] })
    .option("--credential <text>", "Bearer credential; default is VR_CREDENTIAL", { type: [String] })
    .option("--author <name>", "Operator name for the audit trail; default is the login name", { type: [String] })
    .option("--timeout-ms <ms>", "Timeout of an API request")
    .option("--json", "Print JSON");
cli.command("classes <action> [name]", "list, set NAME or delete NAME: classes of work and their targets")
    .option("--rank <rank>", "urgent, standard or background", { type: [String] })
    .option("--target-ms <ms>", "Target for the time from arrival to the complete response")
    .option("--max-age-ms <ms>", "Maximum age of the data that reads may return")
    .option("--read-only", "Refuse writes; --no-read-only allows them")
    .option("--expect <change>", "Change id that the class must have", { type: [String] })
    .action((action: string, name: string | undefined, options: unknown) => runCommand(options, selectClassesRunner(action, name)));
cli.command("config <action> [file]", "get, set FILE or history: the whole configuration")
    .option("--limit <count>", "Maximum number of changes to print")
    .action((action: string, file: string | undefined, options: unknown) => runCommand(options, selectConfigRunner(action, file)));
cli.command("groups", "Database groups, their primaries and owners").action((options: unknown) => runCommand(options, commands => commands.listGroups()));
cli.command("members", "VMs as this VM knows them").action((options: unknown) => runCommand(options, commands => commands.listMembers()));
cli.command("status", "State of the VM").action((options: unknown) => runCommand(options, commands => commands.readStatus()));
cli.command("drain", "Shut the VM down gracefully").action((options: unknown) => runCommand(options, commands => commands.drain()));
cli.command("trace <id> [...files]", "Trace a request through the logs of VMs, or through standard input").action(
    (id: string, files: readonly string[], options: unknown) => {
        const { json } = readOptions(options);
        const output = runTrace(id, files);
        if (output.err) exitWithFailure(output.val, json === true);
        process.stdout.write(json === true ? JSON.stringify(output.val.value) + "\n" : output.val.text);
    },
);
cli.help();
cli.version(version);

async function main(): Promise<void> {
    const parsed = cli.parse(process.argv, { run: false });
    if (parsed.options["help"] === true || parsed.options["version"] === true) return;
    if (cli.matchedCommand === undefined) exitWithUsageError(parsed.args.length === 0 ? "no command given" : `unknown command ${parsed.args[0]}`);
    await cli.runMatchedCommand();
}

main().catch((err: unknown) => exitWithUsageError(err instanceof Error ? err.message : String(err)));
