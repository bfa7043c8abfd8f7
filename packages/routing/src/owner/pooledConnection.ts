import { UpstreamConnection } from "../group/upstreamConnection";

/** A connection of a pool. */
export interface PooledConnection {
    readonly connection: UpstreamConnection;
    /** Rises with each connection that the pool opens; tells connections apart that were opened before a fault. */
    readonly generation: number;
    /** When a statement last ended on it, on the owner's clock in milliseconds. */
    lastUsedAt: number;
}
