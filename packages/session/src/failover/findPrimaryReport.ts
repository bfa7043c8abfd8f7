import { UpstreamReport } from "./upstreamReport";

/** Returns the report of the primary with the highest term, unless another upstream reports a higher term. */
export function findPrimaryReport(reports: readonly UpstreamReport[]): UpstreamReport | undefined {
    const highestTerm = Math.max(0, ...reports.map(report => report.status?.term ?? 0));
    return reports.find(report => report.status?.isPrimary === true && report.status.term === highestTerm);
}
