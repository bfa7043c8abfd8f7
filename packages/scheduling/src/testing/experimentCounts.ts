/** Outcomes of the requests of one class, or of one franchisee in it, that arrived during the measured period. */
export interface ExperimentCounts {
    offered: number;
    /** Served within the target. */
    inTime: number;
    /** Served after the target. Requests not served by the end of the experiment are counted only in `offered`. */
    late: number;
    refused: number;
    /** Refused after the statement had run; must stay 0. */
    refusedAfterRun: number;
}
