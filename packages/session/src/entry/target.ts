import { LogPosition } from "@vanillarouter/base/logPosition";
import { ClockReading } from "../freshness/clockReading";
import { UpstreamPool } from "../upstream/upstreamPool";
import { ReadCandidate } from "./readCandidate";

/** An upstream that may run an operation, and the evidence that it is fresh enough. */
export interface Target {
    readonly pool: UpstreamPool;
    /** Log position that the upstream must have reached. */
    readonly floor: LogPosition | undefined;
    /** Term of the primary; undefined if the operation runs on a replica. */
    readonly primaryTerm: number | undefined;
    /** Local time in milliseconds before which every acknowledged commit is at or below the floor. Undefined without a floor. */
    readonly floorCoversUntil: number | undefined;
    /** The primary is verified to have every commit acknowledged before this moment. Undefined without a verification. */
    readonly verifiedAt: ClockReading | undefined;
    /** What the choice among the upstreams that may serve a read was based on. Undefined if only one upstream may serve the operation. */
    readonly choice?: ReadCandidate;
}
