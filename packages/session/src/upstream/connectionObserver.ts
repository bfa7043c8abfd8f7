import { UpstreamEntry } from "../model/upstreamEntry";

/** Receives what a pool does with the connections of tenants. */
export interface ConnectionObserver {
    /** A connection was opened for a tenant. */
    onOpened(upstream: UpstreamEntry, tenant: string): void;
    /** An idle connection was closed to make room for one of a tenant, or of callers without a tenant. */
    onEvicted(upstream: UpstreamEntry, evictedTenant: string | undefined, tenant: string | undefined): void;
    /** An idle connection of a tenant was closed because the pool's limit has become lower. */
    onSurplusClosed(upstream: UpstreamEntry, tenant: string): void;
}
