import { LogLine } from "./logLine";

const excludedKeys = new Set(["time", "level", "program", "event"]);

/** Formats the lines that `traceRequest` returned, oldest first. Lines about the request itself are marked with an asterisk. */
export function formatTrace(tracedLines: readonly { readonly line: LogLine; readonly isRequest: boolean; }[]): string {
    const rows = tracedLines.map(({ line, isRequest }) => {
        const fields = [...line.fields].filter(([key]) => !excludedKeys.has(key)).map(([key, value]) =>
            `${key}=${/\s/.test(value) ? JSON.stringify(value) : value}`
        );
        return `${isRequest ? "*" : " "} ${new Date(line.timeMs).toISOString()} ${line.source} ${line.event} ${fields.join(" ")}`;
    });
    return rows.map(row => row.trimEnd() + "\n").join("");
}
