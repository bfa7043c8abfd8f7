import { UpstreamSettings } from "./upstreamSettings";

/** A database group: one database and its upstreams, of which at most one is primary in a term. */
export interface DatabaseGroup {
    /** Name of the group, and of the database that callers name. */
    readonly name: string;
    readonly upstreams: readonly UpstreamSettings[];
}
