import { UpstreamConnection } from "../group/upstreamConnection";

/** A connection in a pool. */
export interface PooledConnection {
    readonly connection: UpstreamConnection;
    /**
     * Number of this connection in its pool, counted from 1 in the order of opening. Connections that were opened before a
     * fault have lower numbers than their replacements.
     */
    readonly generation: number;
    /** Time on the owner's clock at which the connection was last returned to the pool, in milliseconds. */
    lastUsedAt: number;
}
