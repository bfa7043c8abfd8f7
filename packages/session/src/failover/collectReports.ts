import { Operation } from "@vanillarouter/base/operation";
import { Task } from "@vanillarouter/base/task";
import { CommandKind } from "../model/commandKind";
import { UpstreamPool } from "../upstream/upstreamPool";
import { UpstreamReport } from "./upstreamReport";

function* collectReport(
    pool: UpstreamPool,
    kind: CommandKind,
    timeoutMs: number,
    term: number | undefined,
    onReport: (report: UpstreamReport) => void,
): Operation<UpstreamReport> {
    const report = { pool, status: yield* pool.runControl(kind, timeoutMs, term) };
    onReport(report);
    return report;
}

/**
 * Sends a control command to several upstreams concurrently and returns their reports in the order of the pools.
 * `onReport` is called for each report as soon as it arrives.
 */
export function* collectReports(
    pools: readonly UpstreamPool[],
    kind: CommandKind,
    timeoutMs: number,
    term?: number,
    onReport: (report: UpstreamReport) => void = () => {},
): Operation<readonly UpstreamReport[]> {
    const tasks = pools.map(pool => Task.start(collectReport(pool, kind, timeoutMs, term, onReport)));
    const reports: UpstreamReport[] = [];
    for (const task of tasks) reports.push(yield* task.join());
    return reports;
}
