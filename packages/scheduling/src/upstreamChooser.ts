import { UpstreamCandidate } from "./upstreamCandidate";

/** Decides which of several upstreams gets the next read. */
export interface UpstreamChooser {
    /** Returns undefined only if there are no candidates. */
    choose<T extends UpstreamCandidate>(candidates: readonly T[]): T | undefined;
}
