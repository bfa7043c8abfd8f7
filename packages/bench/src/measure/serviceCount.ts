/** How the requests of one class ended. */
export interface ServiceCount {
    sent: number;
    /** Answered correctly, once and within the target. */
    served: number;
    /** Answered correctly but late. */
    late: number;
    /** Refused as "did not run". */
    refused: number;
    unknown: number;
    /** Answered with the answer to another request, or with data that the session or class must not see. */
    wrong: number;
}
