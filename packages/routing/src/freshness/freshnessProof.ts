import { LogPosition } from "@vanillarouter/base/logPosition";

/** Data that contains the entry at `position` is no older than the time since `askedAt`. */
export interface FreshnessProof {
    /** Time on this VM's clock before which the primary's position was asked, in milliseconds. */
    readonly askedAt: number;
    readonly position: LogPosition;
}
