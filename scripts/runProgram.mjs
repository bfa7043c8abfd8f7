import { spawn } from "node:child_process";
import { join } from "node:path";
import { prepare } from "./prepare.mjs";

const [program, ...args] = process.argv.slice(2);
const root = prepare();
const child = spawn(process.execPath, ["--enable-source-maps", join(root, program), ...args], { cwd: root, stdio: "inherit" });
for (const signal of ["SIGINT", "SIGTERM"]) process.on(signal, () => child.kill(signal));
child.on("exit", (code, signal) => process.exit(signal === null ? (code ?? 1) : 1));
