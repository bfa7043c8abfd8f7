import { LogPosition } from "@vanillarouter/base/logPosition";

/** A verified log position of a group's primary. */
export interface PositionSample {
    /** Every commit acknowledged before this local time is at or below `position` in the log. */
    readonly coversUntil: number;
    readonly position: LogPosition;
}
