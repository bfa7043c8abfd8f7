import { UpstreamEntry } from "../model/upstreamEntry";

/**
 * Orders two entries of one upstream by when it reported them: negative if `first` is the earlier one, zero if they are the same report.
 * An entry without a report number counts as later, because nothing says that it is not.
 */
export function compareReports(first: UpstreamEntry, second: UpstreamEntry): number {
    if (first.startedAtMs !== second.startedAtMs) return first.startedAtMs - second.startedAtMs;
    if (first.reportNumber === undefined || second.reportNumber === undefined) return 1;
    return first.reportNumber - second.reportNumber;
}
