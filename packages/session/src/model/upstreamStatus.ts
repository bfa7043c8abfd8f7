import { LogPosition } from "@vanillarouter/base/logPosition";

/** What an upstream reports of itself. */
export interface UpstreamStatus {
    readonly isPrimary: boolean;
    readonly term: number;
    /** The last entry received, applied or not. */
    readonly received: LogPosition;
    /** Term of the fence; zero if not fenced. */
    readonly fenceTerm: number;
    readonly lagMs: number;
    readonly busySlots: number;
    readonly connections: number;
}
