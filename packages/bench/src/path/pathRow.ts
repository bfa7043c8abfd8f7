/** One measurement of the path. Processor times are microseconds per statement. */
export interface PathRow {
    readonly path: string;
    readonly kind: "read" | "write";
    /** Whether the rate was fixed; otherwise each connection sends as fast as it is answered. */
    readonly isFixedRate: boolean;
    readonly connections: number;
    readonly statementsPerSecond: number;
    readonly failed: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly entryUs?: number;
    readonly ownerUs?: number;
    readonly upstreamsUs: number;
}
