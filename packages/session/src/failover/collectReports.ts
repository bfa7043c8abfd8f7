import { Operation } from "@vanillarouter/base/operation";
import { Task } from "@vanillarouter/base/task";
import { CommandKind } from "../model/commandKind";
import { UpstreamPool } from "../upstream/upstreamPool";
import { GroupReport } from "./groupReport";

/** Sends one control command to several upstreams at once and collects their answers, in the order of the pools. */
export function* collectReports(pools: readonly UpstreamPool[], kind: CommandKind, timeoutMs: number, term?: number): Operation<readonly GroupReport[]> {
    const tasks = pools.map(pool => Task.start(pool.runControl(kind, timeoutMs, term)));
    const reports: GroupReport[] = [];
    for (const [index, task] of tasks.entries()) reports.push({ pool: pools[index]!, status: yield* task.join() });
    return reports;
}
