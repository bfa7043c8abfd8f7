import { UpstreamStatus } from "../model/upstreamStatus";
import { UpstreamPool } from "../upstream/upstreamPool";

/** The answer of one upstream when the group was examined. */
export interface GroupReport {
    readonly pool: UpstreamPool;
    /** Undefined if the upstream did not answer in time. */
    readonly status: UpstreamStatus | undefined;
}
