/** What became of the requests of one class, or of one franchisee of it, that arrived within the measured time. */
export interface ExperimentCounts {
    offered: number;
    /** Answered within the target. */
    inTime: number;
    late: number;
    refused: number;
    /** Refused after it had run: must stay zero. */
    refusedAfterRun: number;
}
