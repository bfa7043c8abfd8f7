/** Limits on the resources that callers can use on a VM. */
export interface CallerLimits {
    /** Maximum number of concurrent connections. */
    readonly maxConnections: number;
    /** Maximum size of a statement including its hint comment, in bytes. */
    readonly maxStatementBytes: number;
    /** Maximum time from connecting to the end of the login, in milliseconds. */
    readonly loginTimeoutMs: number;
    /** Maximum number of bytes that all connections together hold in incomplete, waiting and unsent messages; undefined for no limit. */
    readonly maxHeldBytes?: number;
    /** Maximum number of bytes of large statements that are executed at the same time; undefined for no limit. */
    readonly maxServedBytes?: number;
    /** Maximum time from the first to the last byte of a statement, in milliseconds; undefined for no limit. */
    readonly messageTimeoutMs?: number;
    /** Maximum time in which nothing that waits to be sent is read, in milliseconds; undefined for no limit. */
    readonly responseTimeoutMs?: number;
}
