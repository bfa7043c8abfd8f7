import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { Err, Ok, Result } from "ts-results";
import { answerSelect } from "./answerSelect";
import { answerSet } from "./answerSet";
import { CallerVariables } from "./callerVariables";
import { createTextResult } from "./createTextResult";
import { Diagnostics } from "./diagnostics";
import { systemVariables } from "./systemVariables";

type Answer = Result<StatementResult, Failure>;

/** Statements that would leave state on an upstream connection, which other callers share. */
const refusedWords = new Set(["LOCK", "UNLOCK", "PREPARE", "EXECUTE", "DEALLOCATE", "HANDLER", "XA", "KILL", "SHUTDOWN", "RESET", "FLUSH"]);

const success = createTextResult([], []);
const firstWord = /^[a-z]+/i;
/** Comments, parentheses and semicolons before the first word. Comments that servers execute are not skipped. */
const leadingText = /^(?:[\s(;]|\/\*(?!!)[\s\S]*?\*\/|--\s[^\n]*(?:\n|$)|#[^\n]*(?:\n|$))+/;

function matchName(name: string, pattern: string | undefined): boolean {
    if (pattern === undefined) return true;
    const expression = pattern.replace(/[.*+?^${}()|[\]\\]/g, "\\$&").replace(/%/g, ".*").replace(/_/g, ".");
    return new RegExp(`^${expression}$`, "i").test(name);
}

function answerShow(variables: CallerVariables, sql: string): Answer | undefined {
    const parts = /^show\s+(?:session\s+|global\s+)?(warnings|errors|variables|databases|schemas)(?:\s+like\s+'([^']{0,64})')?\s*;?$/i.exec(sql);
    if (parts === null) return undefined;
    const kind = parts[1]!.toLowerCase();
    if (kind === "warnings" || kind === "errors") return Ok(createTextResult(["Level", "Code", "Message"], []));
    if (kind === "variables") {
        const rows = [...systemVariables].filter(([name]) => matchName(name, parts[2]));
        return Ok(createTextResult(["Variable_name", "Value"], rows));
    }
    return Ok(createTextResult(["Database"], variables.databases.filter(name => matchName(name, parts[2])).map(name => [name])));
}

function answerUse(variables: CallerVariables, sql: string): Answer | undefined {
    const name = /^use\s+`?([^`;\s]+)`?\s*;?$/i.exec(sql)?.[1];
    return name === undefined ? undefined : variables.selectDatabase(name).map(() => success);
}

/**
 * Answers statements about the connection itself: SET, USE, SELECT of variables, SHOW WARNINGS and similar. Refuses
 * statements that would leave state on a shared upstream connection. Returns undefined for work that needs an upstream.
 */
export function answerLocally(variables: CallerVariables, text: string): Answer | undefined {
    const sql = text.replace(leadingText, "");
    const word = (firstWord.exec(sql)?.[0] ?? "").toUpperCase();
    if (word === "SELECT") return answerSelect(variables, sql);
    if (word === "SET") return answerSet(variables, sql.slice(word.length).replace(/;\s*$/, "").trim()).map(() => success);
    if (word === "USE") return answerUse(variables, sql);
    if (word === "SHOW") return answerShow(variables, sql);
    if (sql === "") return Err(createFailure(Diagnostics.unsupportedStatement, RunOutcome.DidNotRun, "it is empty"));
    if (refusedWords.has(word)) return Err(createFailure(Diagnostics.unsupportedStatement, RunOutcome.DidNotRun, word));
    if (word === "CREATE" && /^create\s+temporary\b/i.test(sql)) {
        return Err(createFailure(Diagnostics.unsupportedStatement, RunOutcome.DidNotRun, "CREATE TEMPORARY"));
    }
    return undefined;
}
