import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { Err, Ok, Result } from "ts-results";
import { CallerVariables } from "./callerVariables";
import { createTextResult } from "./createTextResult";
import { Diagnostics } from "./diagnostics";
import { serverVersion } from "./serverVersion";
import { splitList } from "./splitList";
import { systemVariables } from "./systemVariables";

const maxSelectLength = 2048;
const selectPattern = /^select\s+(.+?)(?:\s+limit\s+\d+)?\s*;?$/is;
const selectItemPattern =
    /^(@@(?:session\.|global\.)?\w+|@\w+|(?:database|schema|version|connection_id|user|current_user|session_user)\(\)|1)(?:\s+(?:as\s+)?[`'"]?(\w+)[`'"]?)?$/i;

/** Evaluates a function of the connection or the literal 1. */
function evaluateFunction(variables: CallerVariables, expression: string): string | undefined {
    if (expression === "1") return "1";
    if (expression === "version()") return serverVersion;
    if (expression === "connection_id()") return String(variables.connectionId);
    if (expression === "database()" || expression === "schema()") return variables.database === "" ? undefined : variables.database;
    return `${variables.user}@%`;
}

function evaluateItem(variables: CallerVariables, name: string): Result<string | undefined, Failure> {
    if (name === "@vr_token") return Ok(variables.token);
    if (name.startsWith("@@")) {
        const value = systemVariables.get(name.replace(/^@@(session\.|global\.)?/, ""));
        return value === undefined ? Err(createFailure(Diagnostics.unknownVariable, RunOutcome.DidNotRun, name)) : Ok(value);
    }
    return Ok(name.startsWith("@") ? variables.findUserVariable(name.slice(1)) : evaluateFunction(variables, name));
}

/**
 * Executes a SELECT that contains only variables and functions of the connection, as clients send when they connect.
 * Returns undefined for every other SELECT.
 */
export function executeSelect(variables: CallerVariables, sql: string): Result<StatementResult, Failure> | undefined {
    const selectList = sql.length > maxSelectLength ? undefined : selectPattern.exec(sql)?.[1];
    if (selectList === undefined || /\bfrom\b/i.test(selectList)) return undefined;
    const names: string[] = [];
    const values: (string | undefined)[] = [];
    for (const item of splitList(selectList)) {
        const match = selectItemPattern.exec(item);
        if (match === null) return undefined;
        const value = evaluateItem(variables, match[1]!.toLowerCase());
        if (value.err) return value;
        names.push(match[2] ?? match[1]!);
        values.push(value.val);
    }
    return Ok(createTextResult(names, [values]));
}
