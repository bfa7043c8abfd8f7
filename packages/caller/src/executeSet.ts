import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Err, Ok, Result } from "ts-results";
import { CallerVariables } from "./callerVariables";
import { Diagnostics } from "./diagnostics";
import { splitList } from "./splitList";

const assignmentPattern = /^(@@?)?(?:(?:session|local)[\s.]\s*)?([\w.]+)\s*:?=\s*(.+)$/is;
const maxShownLength = 60;

/** Variables that clients set when they connect. The proxy accepts any value and ignores it. */
const ignoredVariables = new Set([
    "character_set_client",
    "character_set_connection",
    "character_set_results",
    "collation_connection",
    "interactive_timeout",
    "net_read_timeout",
    "net_write_timeout",
    "session_track_schema",
    "session_track_system_variables",
    "sql_auto_is_null",
    "sql_mode",
    "wait_timeout",
]);

function rejectAssignment(item: string): Result<void, Failure> {
    return Err(createFailure(Diagnostics.unsupportedStatement, RunOutcome.DidNotRun, `SET ${item.slice(0, maxShownLength)}`));
}

/** Parses a quoted or unquoted value. Returns undefined for NULL, DEFAULT and the empty string. */
function parseValue(text: string): string | undefined {
    const quoted = /^(['"`])(.*)\1$/s.exec(text);
    if (quoted !== null) return quoted[2] === "" ? undefined : quoted[2];
    return /^(null|default)$/i.test(text) ? undefined : text;
}

function setSystemVariable(name: string, value: string | undefined, item: string): Result<void, Failure> {
    if (name === "autocommit") return /^(1|on|true)$/i.test(value ?? "") ? Ok(undefined) : rejectAssignment(item);
    return ignoredVariables.has(name) ? Ok(undefined) : rejectAssignment(item);
}

function assign(variables: CallerVariables, item: string): Result<void, Failure> {
    const characterSetMatch = /^(?:names|character\s+set|charset)\s+['"]?(\w+)['"]?(?:\s+collate\s+['"]?\w+['"]?)?$/i.exec(item);
    if (characterSetMatch !== null) return variables.selectCharacterSet(characterSetMatch[1]!.toLowerCase());
    const match = assignmentPattern.exec(item);
    if (match === null) return rejectAssignment(item);
    const value = parseValue(match[3]!.trim());
    const name = match[2]!.toLowerCase();
    return match[1] === "@" ? variables.setUserVariable(name, value) : setSystemVariable(name, value, item);
}

/** Executes a SET statement, given without the keyword SET. Nothing that it sets is sent to an upstream. */
export function executeSet(variables: CallerVariables, text: string): Result<void, Failure> {
    for (const item of splitList(text)) {
        const assigned = assign(variables, item);
        if (assigned.err) return assigned;
    }
    return Ok(undefined);
}
