import { readFileSync } from "node:fs";

const ticksPerSecond = 100;
const pageBytes = 4096;

/** Processor time in milliseconds and resident memory in bytes of a process of this tool, from `/proc`. */
export function readProcessUsage(pid: number): { readonly cpuMs: number; readonly residentBytes: number; } {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    // The fields after the parenthesized program name start with the third one.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    return { cpuMs: ticks * 1000 / ticksPerSecond, residentBytes: Number(fields[21]) * pageBytes };
}
