import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Err, Ok, Result } from "ts-results";
import { Diagnostics } from "./diagnostics";
import { Hint } from "./hint";
import { HintBuilder } from "./hintBuilder";
import { HintedStatement } from "./hintedStatement";

const emptyHint: Hint = HintBuilder.create();
const whiteSpace = /\s+/;
const commentStart = /^\/\*vr\b/;
const commentStartLength = "/*vr".length;

function rejectHint(text: string): Result<HintedStatement, Failure> {
    return Err(createFailure(Diagnostics.malformedHint, RunOutcome.DidNotRun, text));
}

function parseHint(text: string): Result<Hint, Failure> {
    const hint = HintBuilder.create();
    const keys: string[] = [];
    for (const word of text.split(whiteSpace)) {
        if (word === "") continue;
        const separator = word.indexOf("=");
        const key = separator < 0 ? word : word.slice(0, separator);
        if (keys.includes(key)) return Err(createFailure(Diagnostics.malformedHint, RunOutcome.DidNotRun, `${key.slice(0, 40)} is repeated`));
        keys.push(key);
        const failure = hint.set(key, separator < 0 ? "" : word.slice(separator + 1));
        if (failure !== undefined) return Err(failure);
    }
    return Ok(hint);
}

/**
 * Separates the hint comment at the start of a statement, if there is one, from the rest. Rejects a second hint comment,
 * because upstreams interpret such a comment at the start of a statement as an instruction from their owner VM.
 */
export function parseHintComment(text: string): Result<HintedStatement, Failure> {
    const statement = text.trim();
    if (!commentStart.test(statement)) return Ok({ hint: emptyHint, sql: statement });
    const end = statement.indexOf("*/");
    if (end < 0) return rejectHint("the comment is not terminated");
    const hint = parseHint(statement.slice(commentStartLength, end));
    if (hint.err) return hint;
    const sql = statement.slice(end + 2).trimStart();
    if (commentStart.test(sql)) return rejectHint("only one hint comment is allowed");
    return Ok({ hint: hint.val, sql });
}
