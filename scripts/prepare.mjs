import { spawnSync } from "node:child_process";
import { createHash } from "node:crypto";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const root = join(dirname(fileURLToPath(import.meta.url)), "..");
const stamp = join(root, "node_modules", ".installed-lock-hash");

function runStep(command, args) {
    const result = spawnSync(command, args, { cwd: root, stdio: ["ignore", 2, 2] });
    if (result.status !== 0) process.exit(result.status ?? 1);
}

/** Installs the locked dependencies if they are missing or the lock file has changed, then builds. Exits on failure. */
export function prepare() {
    const hash = createHash("sha256").update(readFileSync(join(root, "package-lock.json"))).digest("hex");
    if (!existsSync(stamp) || readFileSync(stamp, "utf8") !== hash) {
        runStep("npm", ["ci", "--no-audit", "--no-fund", "--loglevel=error"]);
        writeFileSync(stamp, hash);
    }
    runStep(process.execPath, [join(root, "node_modules", "typescript", "bin", "tsc"), "-b"]);
    return root;
}
