import { LogPosition } from "@vanillarouter/base/logPosition";

/** Position of a primary whose term was confirmed by another upstream after the question was asked. */
export interface ConfirmedPosition {
    readonly group: string;
    readonly term: number;
    /** Contains every entry acknowledged before the question. */
    readonly position: LogPosition;
}
