import { LogPosition } from "@vanillarouter/base/logPosition";

/** The record of a request id in a database group. */
export interface RecordedOutcome {
    /** Whether the id is recorded as cancelled: the request did not run and never will. */
    readonly cancelled: boolean;
    /** Log entry that contains the record. */
    readonly at: LogPosition;
    readonly affectedRows: number;
    readonly insertId: number;
}
