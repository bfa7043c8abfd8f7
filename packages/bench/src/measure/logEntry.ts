/** One entry of a fake upstream's log. */
export interface LogEntry {
    readonly term: number;
    /** Id of the request that wrote it; empty for the first entry of a term. */
    readonly requestId: string;
    readonly cancelled: boolean;
    /** Time of the write on the clock of the run, in milliseconds. */
    readonly at: number;
}
