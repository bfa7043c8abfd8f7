/** What a replay of reads on several upstreams measured. Waits are in milliseconds, from arrival to a slot, with failed attempts. */
export interface LoadReplayResult {
    /** Mean over time of the standard deviation of the busy slots of the upstreams that are up; replicas only in a group. */
    readonly spread: number;
    /** Part of the time in which statements queue at one upstream while another one has a free slot. */
    readonly wastedPart: number;
    readonly p50: number;
    readonly p99: number;
    readonly p999: number;
    /** 99th percentile of the waits of reads that arrive in the two seconds after an outage. */
    readonly returnP99: number;
    /** 99th percentile of the waits of writes on the primary; zero without a group. */
    readonly writeP99: number;
    readonly failedAttempts: number;
}
