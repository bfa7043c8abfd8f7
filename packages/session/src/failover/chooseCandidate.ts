import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { UpstreamReport } from "./upstreamReport";

function compareReports(first: UpstreamReport, second: UpstreamReport): number {
    const byLog = compareLogPositions(second.status!.received, first.status!.received);
    if (byLog !== 0) return byLog;
    return Number(first.pool.upstream.isLeaving) - Number(second.pool.upstream.isLeaving);
}

/** Chooses the upstream with the most complete log among those that responded. Among equals, prefers one that is not leaving. */
export function chooseCandidate(reports: readonly UpstreamReport[]): UpstreamReport | undefined {
    return reports.filter(report => report.status !== undefined).sort(compareReports)[0];
}
