import { createFailure } from "@vanillarouter/base/createFailure";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { readFileSync } from "node:fs";
import { Err, Ok, Result } from "ts-results";
import { CommandFailure } from "./commandFailure";
import { CommandOutput } from "./commandOutput";
import { Diagnostics } from "./diagnostics";
import { ExitCode } from "./exitCode";
import { formatTrace } from "./formatTrace";
import { LogLine } from "./logLine";
import { parseLogLine } from "./parseLogLine";
import { traceRequest } from "./traceRequest";

const standardInputDescriptor = 0;

/** Traces one request through log files, or through standard input if no file is given. */
export function runTrace(requestId: string, files: readonly string[]): Result<CommandOutput, CommandFailure> {
    const lines: LogLine[] = [];
    for (const file of files.length === 0 ? [standardInputDescriptor] : files) {
        let text: string;
        try {
            text = readFileSync(file, "utf8");
        }
        catch (err) {
            return Err({ failure: createFailure(Diagnostics.logUnreadable, RunOutcome.DidNotRun, String(file), String(err)), exitCode: ExitCode.Failure });
        }
        const fileName = file === standardInputDescriptor || files.length === 1 ? "" : String(file);
        for (const rawLine of text.split("\n")) {
            const line = parseLogLine(rawLine, fileName);
            if (line !== undefined) lines.push(line);
        }
    }
    const tracedLines = traceRequest(lines, requestId);
    if (tracedLines.length === 0) {
        return Err({ failure: createFailure(Diagnostics.requestNotLogged, RunOutcome.DidNotRun, requestId, lines.length), exitCode: ExitCode.Failure });
    }
    const value = tracedLines.map(({ line, isRequest }) => ({ isRequest, source: line.source, ...Object.fromEntries(line.fields) }));
    return Ok({ value, text: formatTrace(tracedLines) });
}
