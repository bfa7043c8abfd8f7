/** How long a group took no writes after its primary failed, in milliseconds. Undefined parts did not happen. */
export interface FailoverGap {
    readonly group: string;
    /** From the failure until an upstream accepted a new term. */
    readonly detectionMs?: number;
    /** From there until an upstream became primary. */
    readonly electionMs?: number;
    /** From there until the first write was acknowledged. */
    readonly firstWriteMs?: number;
    readonly totalMs?: number;
}
