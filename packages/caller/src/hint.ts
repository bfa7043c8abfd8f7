/** Options that a caller has set for one statement or for all statements of a connection. */
export interface Hint {
    readonly className?: string;
    readonly franchisee?: string;
    readonly session?: string;
    /** Encoded session token, or several separated by commas if statements of the session overlapped. */
    readonly token?: string;
    /** Id of the request. A retry uses the same id. */
    readonly requestId?: string;
    /** Time limit for the response, measured from the arrival of the statement, in milliseconds. */
    readonly timeoutMs?: number;
    /** Whether the statement may run more than once. */
    readonly repeatable?: boolean;
    /** Whether the caller has sent this request id before. */
    readonly isRetry?: boolean;
}
