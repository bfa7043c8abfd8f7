import { LogPosition } from "@vanillarouter/base/logPosition";

/** An upstream's report of its role, replication state and load. */
export interface UpstreamStatus {
    readonly isPrimary: boolean;
    readonly term: number;
    /** Position of the last log entry received, whether applied or not. */
    readonly received: LogPosition;
    /** Term of the fence: the upstream rejects log entries of lower terms. Zero if it is not fenced. */
    readonly fenceTerm: number;
    readonly lagMs: number;
    readonly busySlots: number;
    readonly connections: number;
}
