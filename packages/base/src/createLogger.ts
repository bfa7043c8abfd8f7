import * as bunyan from "bunyan";
import { Writable } from "node:stream";
import { KeyValueStream } from "./keyValueStream";

/** Creates the logger of a program, which writes to standard error by default. The message of each record is the event name. */
export function createLogger(program: string, level: bunyan.LogLevel = "info", target: Writable = process.stderr): bunyan {
    const stream = KeyValueStream.create(target);
    return bunyan.createLogger({ name: program, streams: [{ type: "raw", level, stream: stream as unknown as NodeJS.WritableStream }] });
}
