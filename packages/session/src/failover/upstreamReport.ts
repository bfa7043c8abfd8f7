import { UpstreamStatus } from "../model/upstreamStatus";
import { UpstreamPool } from "../upstream/upstreamPool";

/** The result of a control command to one upstream of a group. */
export interface UpstreamReport {
    readonly pool: UpstreamPool;
    /** Undefined if the upstream did not respond in time. */
    readonly status: UpstreamStatus | undefined;
}
