import { spawn } from "node:child_process";
import { join } from "node:path";
import { prepare } from "./prepare.mjs";

const parentCheckMs = 200;
const startedBy = process.ppid;
const [program, ...args] = process.argv.slice(2);
const root = prepare();
const child = spawn(process.execPath, ["--enable-source-maps", join(root, program), ...args], { cwd: root, stdio: "inherit" });
for (const signal of ["SIGINT", "SIGTERM"]) process.on(signal, () => child.kill(signal));

// A shell between npm and this process does not pass signals on, so the end of the parent counts as SIGTERM.
const parentCheck = setInterval(() => {
    if (process.ppid === startedBy) return;
    clearInterval(parentCheck);
    child.kill("SIGTERM");
}, parentCheckMs);
child.on("exit", (code, signal) => process.exit(signal === null ? (code ?? 1) : 1));
