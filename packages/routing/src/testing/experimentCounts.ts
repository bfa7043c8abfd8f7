/** What became of the requests of one class, or of one franchisee of it, that arrived within the measured time. */
export interface ExperimentCounts {
    offered: number;
    /** Answered within the target. */
    inTime: number;
    /** Answered after the target. Those not answered at all before the end of the experiment are in none of the counts. */
    late: number;
    refused: number;
    /** Refused after it had run: must stay zero. */
    refusedAfterRun: number;
}
