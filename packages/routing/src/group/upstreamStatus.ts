import { LogPosition } from "@vanillarouter/base/logPosition";

/** The state that an upstream reports. */
export interface UpstreamStatus {
    readonly upstream: string;
    readonly isPrimary: boolean;
    /** Highest term that the upstream accepted. */
    readonly acceptedTerm: number;
    /** Last log entry that the upstream holds. */
    readonly received: LogPosition;
    /** Last log entry that is visible to reads on the upstream. */
    readonly applied: LogPosition;
    /** Upstream id of the primary that the upstream replicates from. */
    readonly primary?: string;
    /** Time since a replica last heard from its primary, in milliseconds; 0 on a primary. */
    readonly primarySilenceMs: number;
    readonly leaving: boolean;
}
