import * as bunyan from "bunyan";
import { KeyValueStream } from "./keyValueStream";

/** Makes the logger of a program. It writes to standard error; the message of each record is the name of the event. */
export function createLogger(program: string, level: bunyan.LogLevel = "info"): bunyan {
    const stream = KeyValueStream.create(process.stderr);
    return bunyan.createLogger({ name: program, streams: [{ type: "raw", level, stream: stream as unknown as NodeJS.WritableStream }] });
}
