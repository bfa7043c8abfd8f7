import { LogPosition } from "@vanillarouter/base/logPosition";
import { StatementResult } from "@vanillarouter/base/statementResult";

/** The answer of an upstream. */
export interface UpstreamAnswer {
    readonly result: StatementResult;
    /** Entry of the write, or last applied entry at the time of the read. */
    readonly at: LogPosition;
    /** Whether the request id was already recorded, so that `result` is the recorded one and nothing was executed now. */
    readonly recordedBefore: boolean;
}
