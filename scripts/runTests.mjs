import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { prepare } from "./prepare.mjs";

const testTimeoutMs = 240_000;
const root = prepare();

function findTests() {
    return [...readdirSync(join(root, "packages")).map(name => join("packages", name)), "platform"].flatMap(folder => {
        const sources = join(root, folder, "src");
        const files = readdirSync(sources, { recursive: true }).filter(file => file.endsWith(".test.ts"));
        return files.map(file => join(root, folder, "dist", file.replace(/\.ts$/, ".js")));
    });
}

/** Reads the `test:` lines of KNOWN-RED.txt. */
function readKnownRed() {
    const file = join(root, "KNOWN-RED.txt");
    if (!existsSync(file)) return new Set();
    const lines = readFileSync(file, "utf8").split("\n");
    return new Set(lines.filter(line => line.startsWith("test: ")).map(line => line.slice("test: ".length).trim()));
}

/** Runs test files and returns the names of the tests that failed; undefined if the run broke without naming one. */
function runFiles(files, concurrency) {
    if (files.length === 0) return [];
    const folder = mkdtempSync(join(tmpdir(), "vanillarouter-tests-"));
    const failures = join(folder, "failures");
    const reporter = new URL("./failureReporter.mjs", import.meta.url).href;
    const result = spawnSync(process.execPath, [
        "--enable-source-maps",
        "--test",
        // A failed test may leave connections open; the run has to end with its verdict all the same.
        "--test-force-exit",
        `--test-timeout=${testTimeoutMs}`,
        `--test-concurrency=${concurrency}`,
        "--test-reporter=spec",
        "--test-reporter-destination=stdout",
        `--test-reporter=${reporter}`,
        `--test-reporter-destination=${failures}`,
        ...files,
    ], { cwd: root, stdio: ["ignore", "inherit", "inherit"] });
    const names = existsSync(failures) ? readFileSync(failures, "utf8").split("\n").filter(line => line !== "").map(line => JSON.parse(line)) : [];
    rmSync(folder, { recursive: true });
    return result.status !== 0 && names.length === 0 ? undefined : names;
}

// End-to-end tests start processes and measure time, so they run one after another.
const files = findTests();
const unitFailures = runFiles(files.filter(file => !file.endsWith(".e2e.test.js")), 4);
const endToEndFailures = runFiles(files.filter(file => file.endsWith(".e2e.test.js")), 1);
if (unitFailures === undefined || endToEndFailures === undefined) {
    console.log("the test run ended without naming a failed test");
    process.exit(1);
}
const knownRed = readKnownRed();
const failed = [...unitFailures, ...endToEndFailures];
const unexpected = failed.filter(name => !knownRed.has(name));
for (const name of knownRed) console.log(`known failure, listed in KNOWN-RED.txt: ${name} (${failed.includes(name) ? "failed" : "passed"})`);
for (const name of unexpected) console.log(`unexpected failure: ${name}`);
process.exit(unexpected.length === 0 ? 0 : 1);
