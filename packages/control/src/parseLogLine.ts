import { LogLine } from "./logLine";

const fieldPattern = /([A-Za-z]\w*)=("(?:[^"\\]|\\.)*"|\S+)/g;

function unquote(text: string): string {
    if (!text.startsWith("\"")) return text;
    try {
        return JSON.parse(text) as string;
    }
    catch {
        // A truncated line may end inside a quoted value; its raw text is returned.
        return text;
    }
}

/** Parses a line of key=value pairs; undefined if it is not a log line. Log collectors may add a prefix to the line. */
export function parseLogLine(line: string, file: string): LogLine | undefined {
    const start = line.search(/(^|\s)time=/);
    if (start < 0) return undefined;
    const fields = new Map<string, string>();
    for (const [, key, value] of line.slice(start).matchAll(fieldPattern)) fields.set(key!, unquote(value!));
    const timeMs = Date.parse(fields.get("time") ?? "");
    const event = fields.get("event");
    if (Number.isNaN(timeMs) || event === undefined) return undefined;
    const prefix = line.slice(0, start).trim().split(/\s+/).at(-1) ?? "";
    return { source: [file, prefix].filter(part => part !== "").join(" "), timeMs, event, fields };
}
