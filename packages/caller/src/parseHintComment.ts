import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Err, Ok, Result } from "ts-results";
import { Diagnostics } from "./diagnostics";
import { Hint } from "./hint";
import { HintDraft } from "./hintDraft";
import { HintedStatement } from "./hintedStatement";

const emptyHint: Hint = HintDraft.create();
const whiteSpace = /\s+/;
const opening = /^\/\*vr\b/;
const openingLength = "/*vr".length;

function refuse(text: string): Result<HintedStatement, Failure> {
    return Err(createFailure(Diagnostics.malformedHint, RunOutcome.DidNotRun, text));
}

function parseWords(text: string): Result<Hint, Failure> {
    const hint = HintDraft.create();
    const keys: string[] = [];
    for (const word of text.split(whiteSpace)) {
        if (word === "") continue;
        const separator = word.indexOf("=");
        const key = separator < 0 ? word : word.slice(0, separator);
        if (keys.includes(key)) return Err(createFailure(Diagnostics.malformedHint, RunOutcome.DidNotRun, `${key.slice(0, 40)} is repeated`));
        keys.push(key);
        const fault = hint.set(key, separator < 0 ? "" : word.slice(separator + 1));
        if (fault !== undefined) return Err(fault);
    }
    return Ok(hint);
}

/**
 * Splits a statement into its hint comment, if it begins with one, and the rest. A second comment of this kind is
 * refused, because upstreams read such a comment at the start of a statement as an instruction of an owner.
 */
export function parseHintComment(text: string): Result<HintedStatement, Failure> {
    const statement = text.trim();
    if (!opening.test(statement)) return Ok({ hint: emptyHint, sql: statement });
    const end = statement.indexOf("*/");
    if (end < 0) return refuse("the comment has no end");
    const hint = parseWords(statement.slice(openingLength, end));
    if (hint.err) return hint;
    const sql = statement.slice(end + 2).trimStart();
    if (opening.test(sql)) return refuse("only one hint comment is allowed");
    return Ok({ hint: hint.val, sql });
}
