import { StatementKind } from "./statementKind";

const readKeywords = new Set(["select", "show", "describe", "desc", "explain", "values", "table", "with", "help"]);
const commentSource = String.raw`\/\*(?!!)[\s\S]*?\*\/|--(?=\s)[^\n]*(?:\n|$)|#[^\n]*(?:\n|$)`;
const separatorSource = `(?:\\s|${commentSource})+`;
const leadingTriviaPattern = new RegExp(`^(?:[\\s(;]|${commentSource})*`);
const keywordPattern = /^[a-z]+/i;
const lockOrIntoPattern = new RegExp(
    `\\bfor${separatorSource}(?:update|share)\\b|\\block${separatorSource}in${separatorSource}share${separatorSource}mode\\b|\\binto\\b`,
    "i",
);
const writeKeywordPattern = /\b(?:insert|update|delete|replace)\b/i;
/** A MySQL server executes the content of a comment that begins with these characters. */
const executableCommentPrefix = "/*!";

function skipLeadingTrivia(sql: string): string {
    const length = leadingTriviaPattern.exec(sql)?.[0].length ?? 0;
    return length === 0 ? sql : sql.slice(length);
}

function hasSecondStatement(sql: string): boolean {
    const end = sql.indexOf(";");
    return end >= 0 && skipLeadingTrivia(sql.slice(end)).length > 0;
}

/**
 * Whether nothing in the text of a statement may write or lock. Keywords inside string literals count too, which sends a
 * few reads to the primary but never a write to a replica.
 */
function isPlainRead(keyword: string, text: string): boolean {
    if (!readKeywords.has(keyword)) return false;
    if (text.includes(executableCommentPrefix) || hasSecondStatement(text)) return false;
    if (keyword === "with" || keyword === "explain") return !writeKeywordPattern.test(text) && !lockOrIntoPattern.test(text);
    return !lockOrIntoPattern.test(text);
}

function readSecondKeyword(text: string, keyword: string): string {
    return keywordPattern.exec(skipLeadingTrivia(text.slice(keyword.length)))?.[0].toLowerCase() ?? "";
}

/** Determines the kind of a statement from its leading keyword, skipping comments. An unknown statement is a write. */
export function classifyStatement(sql: string): StatementKind {
    const text = skipLeadingTrivia(sql);
    const keyword = keywordPattern.exec(text)?.[0].toLowerCase() ?? "";
    if (isPlainRead(keyword, text)) return StatementKind.Read;
    if (keyword === "begin") return StatementKind.Begin;
    if (keyword === "commit") return StatementKind.Commit;
    if (keyword === "start") return readSecondKeyword(text, keyword) === "transaction" ? StatementKind.Begin : StatementKind.Write;
    if (keyword !== "rollback") return StatementKind.Write;
    return readSecondKeyword(text, keyword) === "to" ? StatementKind.Write : StatementKind.Rollback;
}
