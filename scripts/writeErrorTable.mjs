import { existsSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { join } from "node:path";
import { prepare } from "./prepare.mjs";

const require = createRequire(import.meta.url);
const root = prepare();
const header = [
    "# Result codes",
    "",
    "Written by `npm run docs:errors` from the diagnostics table of each package. Every numbered error has a code, a text",
    "and a remedy; callers see the code as a text prefix such as `[vr-1204]`.",
];

function collectMessages(name) {
    const file = join(root, "packages", name, "dist", "diagnostics.js");
    return existsSync(file) ? Object.values(require(file).Diagnostics) : [];
}

function formatSection(name) {
    const rows = collectMessages(name).sort((first, second) => first.code - second.code);
    if (rows.length === 0) return [];
    return ["", `## ${name}`, "", "| Code | Text | Remedy |", "|---|---|---|", ...rows.map(row => `| ${row.code} | ${row.text} | ${row.remedy} |`)];
}

const names = readdirSync(join(root, "packages")).sort();
const codes = names.flatMap(collectMessages).map(row => row.code);
const repeated = codes.filter((code, index) => codes.indexOf(code) !== index);
if (repeated.length > 0) {
    console.error(`result codes used twice: ${repeated.join(", ")}`);
    process.exit(1);
}
const text = [...header, ...names.flatMap(formatSection)].join("\n") + "\n";
const target = join(root, "docs", "errors.md");
if (process.argv.includes("--check")) {
    if (existsSync(target) && readFileSync(target, "utf8") === text) process.exit(0);
    console.error("docs/errors.md does not match the diagnostics tables; run npm run docs:errors");
    process.exit(1);
}
writeFileSync(target, text);
