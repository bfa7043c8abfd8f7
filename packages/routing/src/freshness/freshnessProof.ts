import { LogPosition } from "@vanillarouter/base/logPosition";

/**
 * Proves that data with all log entries up to `position` contains every write acknowledged before `askedAt`. The age of
 * such data is therefore at most the time since `askedAt`.
 */
export interface FreshnessProof {
    /** Time on this VM's clock, taken before the request for the primary's position was sent, in milliseconds. */
    readonly askedAt: number;
    readonly position: LogPosition;
}
