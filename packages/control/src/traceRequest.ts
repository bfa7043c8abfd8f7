import { LogLine } from "./logLine";

/** The trace includes events from this long before the request's first line, because they may explain its outcome. */
const contextBeforeMs = 5_000;
/** The trace includes events until this long after the request's last line. */
const contextAfterMs = 1_000;
const vmEventPattern = /^(vm|settings|dependency|configuration|store|log)\./;
const groupEventPattern = /^(primary|promotion|upstream)\./;

function concernsRequest(line: LogLine, requestId: string): boolean {
    return line.fields.get("req") === requestId || line.fields.get("statement") === requestId;
}

/**
 * Selects the lines about a request and the events around that time: events of its database group on all VMs, and VM-wide
 * and upstream events of the VMs that logged the request. The log key of a database group is `service`.
 */
export function traceRequest(lines: readonly LogLine[], requestId: string): readonly { readonly line: LogLine; readonly isRequest: boolean; }[] {
    const requestLines = lines.filter(line => concernsRequest(line, requestId));
    if (requestLines.length === 0) return [];
    const sources = new Set(requestLines.map(line => line.source));
    const groups = new Set(requestLines.map(line => line.fields.get("service")));
    const fromMs = Math.min(...requestLines.map(line => line.timeMs)) - contextBeforeMs;
    const toMs = Math.max(...requestLines.map(line => line.timeMs)) + contextAfterMs;
    const isContext = (line: LogLine): boolean => {
        if (line.timeMs < fromMs || line.timeMs > toMs) return false;
        if (groupEventPattern.test(line.event)) {
            return groups.has(line.fields.get("service")) || (line.event.startsWith("upstream.") && sources.has(line.source));
        }
        return vmEventPattern.test(line.event) && sources.has(line.source);
    };
    return lines
        .filter(line => concernsRequest(line, requestId) || isContext(line))
        .sort((first, second) => first.timeMs - second.timeMs)
        .map(line => ({ line, isRequest: concernsRequest(line, requestId) }));
}
