import { LogPosition } from "@vanillarouter/base/logPosition";
import { StatementResult } from "@vanillarouter/base/statementResult";

/** The response of an upstream to a statement. */
export interface UpstreamResponse {
    readonly result: StatementResult;
    /** Log entry of the write, or last applied log entry at the time of the read. */
    readonly at: LogPosition;
    /** Whether the request id was already recorded. If so, `result` is the recorded one and nothing was executed now. */
    readonly recordedBefore: boolean;
}
