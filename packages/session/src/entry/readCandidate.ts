import { UpstreamCandidate } from "@vanillarouter/scheduling/upstreamCandidate";
import { UpstreamPool } from "../upstream/upstreamPool";

/** An upstream that may serve a read, as it was known when the choice was made. */
export interface ReadCandidate extends UpstreamCandidate {
    readonly pool: UpstreamPool;
    /** Age of the latest status in milliseconds; undefined if there was none. */
    readonly newsAgeMs: number | undefined;
}
