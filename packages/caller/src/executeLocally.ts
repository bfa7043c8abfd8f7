import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { Err, Ok, Result } from "ts-results";
import { CallerVariables } from "./callerVariables";
import { createTextResult } from "./createTextResult";
import { Diagnostics } from "./diagnostics";
import { executeSelect } from "./executeSelect";
import { executeSet } from "./executeSet";
import { systemVariables } from "./systemVariables";

type LocalResult = Result<StatementResult, Failure>;

/** Statements that would leave state on an upstream connection, which is shared between callers. */
const unsupportedKeywords = new Set(["LOCK", "UNLOCK", "PREPARE", "EXECUTE", "DEALLOCATE", "HANDLER", "XA", "KILL", "SHUTDOWN", "RESET", "FLUSH"]);

const emptyResult = createTextResult([], []);
const keywordPattern = /^[a-z]+/i;
/** White space, comments, parentheses and semicolons before the first keyword. Comments that servers execute (`/*!`) do not match. */
const ignoredPrefix = /^(?:[\s(;]|\/\*(?!!)[\s\S]*?\*\/|--\s[^\n]*(?:\n|$)|#[^\n]*(?:\n|$))+/;

function matchesLikePattern(name: string, pattern: string | undefined): boolean {
    if (pattern === undefined) return true;
    const expression = pattern.replace(/[.*+?^${}()|[\]\\]/g, "\\$&").replace(/%/g, ".*").replace(/_/g, ".");
    return new RegExp(`^${expression}$`, "i").test(name);
}

function executeShow(variables: CallerVariables, sql: string): LocalResult | undefined {
    const match = /^show\s+(?:session\s+|global\s+)?(warnings|errors|variables|databases|schemas)(?:\s+like\s+'([^']{0,64})')?\s*;?$/i.exec(sql);
    if (match === null) return undefined;
    const kind = match[1]!.toLowerCase();
    if (kind === "warnings" || kind === "errors") return Ok(createTextResult(["Level", "Code", "Message"], []));
    if (kind === "variables") {
        const rows = [...systemVariables].filter(([name]) => matchesLikePattern(name, match[2]));
        return Ok(createTextResult(["Variable_name", "Value"], rows));
    }
    return Ok(createTextResult(["Database"], variables.databases.filter(name => matchesLikePattern(name, match[2])).map(name => [name])));
}

function executeUse(variables: CallerVariables, sql: string): LocalResult | undefined {
    const name = /^use\s+`?([^`;\s]+)`?\s*;?$/i.exec(sql)?.[1];
    return name === undefined ? undefined : variables.selectDatabase(name).map(() => emptyResult);
}

/**
 * Executes statements about the connection itself: SET, USE, SELECT of variables, SHOW WARNINGS and similar. Rejects
 * statements that would leave state on a shared upstream connection. Returns undefined for statements that need an upstream.
 */
export function executeLocally(variables: CallerVariables, text: string): LocalResult | undefined {
    const sql = text.replace(ignoredPrefix, "");
    const keyword = (keywordPattern.exec(sql)?.[0] ?? "").toUpperCase();
    if (keyword === "SELECT") return executeSelect(variables, sql);
    if (keyword === "SET") return executeSet(variables, sql.slice(keyword.length).replace(/;\s*$/, "").trim()).map(() => emptyResult);
    if (keyword === "USE") return executeUse(variables, sql);
    if (keyword === "SHOW") return executeShow(variables, sql);
    if (sql === "") return Err(createFailure(Diagnostics.unsupportedStatement, RunOutcome.DidNotRun, "empty statement"));
    if (unsupportedKeywords.has(keyword)) return Err(createFailure(Diagnostics.unsupportedStatement, RunOutcome.DidNotRun, keyword));
    if (keyword === "CREATE" && /^create\s+temporary\b/i.test(sql)) {
        return Err(createFailure(Diagnostics.unsupportedStatement, RunOutcome.DidNotRun, "CREATE TEMPORARY"));
    }
    return undefined;
}
