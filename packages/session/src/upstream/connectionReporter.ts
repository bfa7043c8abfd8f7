import { UpstreamEntry } from "../model/upstreamEntry";
import { ListenerCheck } from "./listenerCheck";

/** What the connections of a pool need of the pool. */
export interface ConnectionReporter {
    readonly upstream: UpstreamEntry;
    readonly listener: ListenerCheck;
    /** Records that a connection was opened. */
    recordOpened(): void;
    /** Records that a connection attempt got no response. */
    recordFailure(): void;
}
