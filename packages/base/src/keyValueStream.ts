import { Writable } from "node:stream";
import { formatLogRecord } from "./formatLogRecord";

/** A stream for `bunyan` that writes each record as one line of key=value pairs. */
export class KeyValueStream {
    private constructor(private readonly target: Writable) {}

    public static create(target: Writable): KeyValueStream {
        return new KeyValueStream(target);
    }

    public write(record: unknown): void {
        this.target.write(formatLogRecord(record as Readonly<Record<string, unknown>>) + "\n");
    }
}
