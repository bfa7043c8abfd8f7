import { UpstreamSettings } from "./upstreamSettings";

/** A database group: one database and its upstreams, of which at most one is primary in a term. */
export interface DatabaseGroup {
    /** Name of the group, and the database name that callers use. */
    readonly name: string;
    readonly upstreams: readonly UpstreamSettings[];
}
