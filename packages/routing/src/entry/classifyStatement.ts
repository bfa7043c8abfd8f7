import { StatementKind } from "./statementKind";

const readKeywords = new Set(["select", "show", "describe", "desc", "explain", "values", "table", "with", "help"]);
const comment = String.raw`\/\*(?!!)[\s\S]*?\*\/|--(?=\s)[^\n]*(?:\n|$)|#[^\n]*(?:\n|$)`;
const gap = `(?:\\s|${comment})+`;
const leadingText = new RegExp(`^(?:[\\s(;]|${comment})*`);
const keywordPattern = /^[a-z]+/i;
const lockingRead = new RegExp(`\\bfor${gap}(?:update|share)\\b|\\block${gap}in${gap}share${gap}mode\\b|\\binto\\b`, "i");
const writeKeyword = /\b(?:insert|update|delete|replace)\b/i;
const executableComment = "/*!";

function skipLeadingText(sql: string): string {
    const length = leadingText.exec(sql)?.[0].length ?? 0;
    return length === 0 ? sql : sql.slice(length);
}

function hasSecondStatement(sql: string): boolean {
    const end = sql.indexOf(";");
    return end >= 0 && skipLeadingText(sql.slice(end)).length > 0;
}

/**
 * A statement is a read only if nothing in its text may write or lock. Words inside string literals are not told apart,
 * which sends a few reads to the primary and never a write to a replica.
 */
function isPlainRead(keyword: string, text: string): boolean {
    if (!readKeywords.has(keyword)) return false;
    if (text.includes(executableComment) || hasSecondStatement(text)) return false;
    if (keyword === "with" || keyword === "explain") return !writeKeyword.test(text) && !lockingRead.test(text);
    return !lockingRead.test(text);
}

function readSecondKeyword(text: string, keyword: string): string {
    return keywordPattern.exec(skipLeadingText(text.slice(keyword.length)))?.[0].toLowerCase() ?? "";
}

/** Tells the kind of a statement from its leading keyword, with comments skipped. An unknown statement is a write. */
export function classifyStatement(sql: string): StatementKind {
    const text = skipLeadingText(sql);
    const keyword = keywordPattern.exec(text)?.[0].toLowerCase() ?? "";
    if (isPlainRead(keyword, text)) return StatementKind.Read;
    if (keyword === "begin") return StatementKind.Begin;
    if (keyword === "commit") return StatementKind.Commit;
    if (keyword === "start") return readSecondKeyword(text, keyword) === "transaction" ? StatementKind.Begin : StatementKind.Write;
    if (keyword !== "rollback") return StatementKind.Write;
    return readSecondKeyword(text, keyword) === "to" ? StatementKind.Write : StatementKind.Rollback;
}
