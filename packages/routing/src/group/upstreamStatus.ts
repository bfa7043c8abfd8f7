import { LogPosition } from "@vanillarouter/base/logPosition";

/** The state of an upstream as it reports it. */
export interface UpstreamStatus {
    readonly upstream: string;
    readonly isPrimary: boolean;
    /** Highest term that it accepted. */
    readonly acceptedTerm: number;
    /** Last entry that it holds. */
    readonly received: LogPosition;
    /** Last entry that reads on it see. */
    readonly applied: LogPosition;
    /** Upstream id of the primary that it follows. */
    readonly primary?: string;
    /** Time since a replica last heard from its primary, in milliseconds; 0 on a primary. */
    readonly primarySilenceMs: number;
    readonly leaving: boolean;
}
