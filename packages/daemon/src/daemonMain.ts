#!/usr/bin/env node
import { createFailure } from "@vanillarouter/base/createFailure";
import { createLogger } from "@vanillarouter/base/createLogger";
import { Failure } from "@vanillarouter/base/failure";
import { GarbageCollection } from "@vanillarouter/base/garbageCollection";
import { readSettings } from "@vanillarouter/base/readSettings";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { SystemClock } from "@vanillarouter/base/systemClock";
import { SystemRandom } from "@vanillarouter/base/systemRandom";
import { Task } from "@vanillarouter/base/task";
import * as bunyan from "bunyan";
import { cac } from "cac";
import { getHeapStatistics } from "node:v8";
import { Daemon } from "./daemon";
import { DaemonAddresses } from "./daemonAddresses";
import { DaemonSettings } from "./daemonSettings";
import { Diagnostics } from "./diagnostics";
import { settingsSchema } from "./settingsSchema";

const program = "vanillarouterd";
const version = "0.1.0";
const defaultFile = "vanillarouter.json";
const failureExitCode = 1;
const usageExitCode = 2;
/** Fraction of the heap limit after which garbage of large statements is collected. */
const garbageHeapFraction = 0.03125;

function exitWithFailure(failure: Failure, exitCode: number): never {
    process.stderr.write(`${program}: [vr-${failure.code}] ${failure.message}\n`);
    process.exit(exitCode);
}

function loadSettings(file: string): DaemonSettings {
    const settings = readSettings(file, settingsSchema);
    return settings.ok ? settings.val : exitWithFailure(settings.val, failureExitCode);
}

/** Prints the bound addresses as one line on standard output, for scripts that start daemons with port 0. */
function printAddresses(settings: DaemonSettings, addresses: DaemonAddresses): void {
    const { vm, caller, administration } = settings;
    const { callerPort, administrationPort, heartbeatPort, linkPort } = addresses;
    const admin = `http://${administration.host}:${administrationPort}`;
    process.stdout.write(`ready vm=${vm.id} caller=${caller.host}:${callerPort} admin=${admin} heartbeat=${heartbeatPort} link=${linkPort}\n`);
}

function logUnexpectedErrors(logger: bunyan): void {
    const report = (err: unknown): void => {
        const failure = createFailure(Diagnostics.unexpectedError, RunOutcome.Unknown, String(err));
        logger.error({ code: failure.code, err: err instanceof Error ? err.stack : String(err) }, "daemon.unexpected_error");
    };
    process.on("uncaughtException", report);
    process.on("unhandledRejection", report);
}

async function serve(settings: DaemonSettings): Promise<void> {
    const logger = createLogger(program, settings.log.level);
    logUnexpectedErrors(logger);
    GarbageCollection.limitGarbage(getHeapStatistics().heap_size_limit * garbageHeapFraction);
    const daemon = Daemon.create({
        settings,
        clock: SystemClock.create(),
        random: SystemRandom.create(),
        logger,
        onReady: addresses => printAddresses(settings, addresses),
    });
    for (const signal of ["SIGTERM", "SIGINT"] as const) process.on(signal, () => daemon.startDrain());
    const served = await Task.start(daemon.run()).toPromise();
    if (served.err) exitWithFailure(served.val, failureExitCode);
    process.exit(0);
}

const cli = cac(program);
cli.command("", "Accept caller connections and route their statements to database groups")
    .option("--settings <file>", "Settings file in JSON", { default: defaultFile })
    .option("--check", "Check the settings, report every fault and exit")
    .action((options: { readonly settings: string; readonly check?: boolean; }) => {
        const settings = loadSettings(options.settings);
        if (options.check !== true) return serve(settings);
        process.stdout.write(`${options.settings}: no faults\n`);
        return undefined;
    });
cli.help();
cli.version(version);
try {
    const parsed = cli.parse(process.argv, { run: false });
    const isHelpOrVersion = parsed.options["help"] === true || parsed.options["version"] === true;
    if (!isHelpOrVersion && parsed.args.length > 0) throw new Error(`unexpected argument ${parsed.args[0]}`);
    if (!isHelpOrVersion) {
        Promise.resolve(cli.runMatchedCommand()).catch((err: unknown) => {
            exitWithFailure(createFailure(Diagnostics.unexpectedError, RunOutcome.Unknown, String(err)), failureExitCode);
        });
    }
}
catch (err) {
    exitWithFailure(createFailure(Diagnostics.usageInvalid, RunOutcome.DidNotRun, err instanceof Error ? err.message : String(err)), usageExitCode);
}
