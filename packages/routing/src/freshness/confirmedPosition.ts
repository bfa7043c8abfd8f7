import { LogPosition } from "@vanillarouter/base/logPosition";

/** Log position of a primary whose term was confirmed by a majority of its group after the request. */
export interface ConfirmedPosition {
    readonly group: string;
    readonly term: number;
    /** At or after every log entry acknowledged before the request. */
    readonly position: LogPosition;
}
