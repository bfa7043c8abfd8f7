import { LogPosition } from "@vanillarouter/base/logPosition";

/** What a group has recorded about a request id. */
export interface RecordedOutcome {
    /** Whether the id is recorded as cancelled: the request did not run and never will. */
    readonly cancelled: boolean;
    /** Entry that recorded the id. */
    readonly at: LogPosition;
    readonly affectedRows: number;
    readonly insertId: number;
}
