import { nameFromLevel } from "bunyan";

const excludedKeys = new Set(["v", "name", "hostname", "pid", "time", "level", "msg"]);

function quoteValue(value: unknown): string {
    const text = value instanceof Error ? value.message : typeof value === "object" ? JSON.stringify(value) : String(value);
    return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}

/** Formats a `bunyan` record as one line: time, level, program, event, then the other fields in insertion order. */
export function formatLogRecord(record: Readonly<Record<string, unknown>>): string {
    const time = record["time"] instanceof Date ? record["time"].toISOString() : String(record["time"]);
    const level = nameFromLevel[Number(record["level"])] ?? String(record["level"]);
    const parts = [`time=${time}`, `level=${level}`, `program=${quoteValue(record["name"])}`, `event=${quoteValue(record["msg"])}`];
    for (const [key, value] of Object.entries(record)) {
        if (!excludedKeys.has(key) && value !== undefined) parts.push(`${key}=${quoteValue(value)}`);
    }
    return parts.join(" ");
}
