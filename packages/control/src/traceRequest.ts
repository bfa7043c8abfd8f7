import { LogLine } from "./logLine";

/** Beliefs that were formed this long before a request may have decided it. */
const contextBeforeMs = 5_000;
const contextAfterMs = 1_000;
const sharedEvents = /^(vm|settings|dependency|configuration|store|log)\./;
const groupEvents = /^(primary|promotion|upstream)\./;

function concernsRequest(line: LogLine, id: string): boolean {
    return line.fields.get("req") === id || line.fields.get("statement") === id;
}

/** Selects the lines about a request, and what the VMs that served it came to believe about its group around that time. */
export function traceRequest(lines: readonly LogLine[], id: string): readonly { readonly line: LogLine; readonly isRequest: boolean; }[] {
    const own = lines.filter(line => concernsRequest(line, id));
    if (own.length === 0) return [];
    const sources = new Set(own.map(line => line.source));
    const services = new Set(own.map(line => line.fields.get("service")));
    const from = Math.min(...own.map(line => line.timeMs)) - contextBeforeMs;
    const to = Math.max(...own.map(line => line.timeMs)) + contextAfterMs;
    const isContext = (line: LogLine): boolean => {
        if (line.timeMs < from || line.timeMs > to) return false;
        if (groupEvents.test(line.event)) return services.has(line.fields.get("service")) || (line.event.startsWith("upstream.") && sources.has(line.source));
        return sharedEvents.test(line.event) && sources.has(line.source);
    };
    return lines
        .filter(line => concernsRequest(line, id) || isContext(line))
        .sort((first, second) => first.timeMs - second.timeMs)
        .map(line => ({ line, isRequest: concernsRequest(line, id) }));
}
