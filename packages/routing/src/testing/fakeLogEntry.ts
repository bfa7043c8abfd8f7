import { LogPosition } from "@vanillarouter/base/logPosition";

/** An entry in the log of a fake upstream. */
export interface FakeLogEntry {
    readonly at: LogPosition;
    /** Absent for the empty entry that begins a term. */
    readonly requestId?: string;
    readonly sql: string;
    readonly isCancellation: boolean;
}
