import { UpstreamEntry } from "../model/upstreamEntry";

/** What the connections of a pool need of the pool. */
export interface ConnectionReporter {
    readonly upstream: UpstreamEntry;
    /** Records that a connection was opened. */
    recordOpened(): void;
    /** Records that a connection attempt got no response. */
    recordFailure(): void;
}
