/** What a caller said about a statement or about all statements of a connection. */
export interface Hint {
    readonly className?: string;
    readonly franchisee?: string;
    readonly session?: string;
    /** Encoded session token; several, separated by commas, when statements of the session overlapped. */
    readonly token?: string;
    /** Id of the request, which a retry repeats. */
    readonly requestId?: string;
    /** Time from arrival within which the answer is wanted, in milliseconds. */
    readonly timeoutMs?: number;
    /** Whether the statement may run more than once. */
    readonly repeatable?: boolean;
    /** Whether the caller sent the request id before. */
    readonly isRetry?: boolean;
}
