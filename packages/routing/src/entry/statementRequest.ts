/** One statement of a caller with the options that the caller gave. Created by the `caller` package. */
export interface StatementRequest {
    /** Unique id of the request; a retry by the caller carries the same id. */
    readonly requestId: string;
    /** Name of the class of work. */
    readonly className: string;
    readonly franchisee: string;
    /** Name of the database group. */
    readonly group: string;
    /** The statement without its hint comment. */
    readonly sql: string;
    /** Arrival time on the entry VM's clock, in milliseconds. */
    readonly arrivedAt: number;
    /** Time from arrival within which the caller wants the response, in milliseconds. Absent: the target of the class. */
    readonly timeoutMs?: number;
    /** Whether the caller allows the statement to run more than once. */
    readonly repeatable: boolean;
    /**
     * Whether the caller has sent this request id before. An earlier attempt may have run, so a refusal of this attempt
     * is reported as "did not run" only after the group has recorded the id as cancelled.
     */
    readonly isRetry?: boolean;
}
