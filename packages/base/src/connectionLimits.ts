/** Limits on the connections of a server. */
export interface ConnectionLimits {
    readonly maxConnections: number;
    /** Maximum number of bytes that all connections together hold in incomplete, waiting and unsent messages and in session values. */
    readonly maxHeldBytes: number;
    /** Maximum number of bytes of large messages that are executed at the same time. */
    readonly maxServedBytes: number;
    /** Maximum time from the connection to the login, in milliseconds. */
    readonly loginTimeoutMs: number;
    /** Maximum time from the first to the last byte of a message, in milliseconds. */
    readonly messageTimeoutMs: number;
    /** Maximum time in which nothing that waits to be sent is read, in milliseconds. */
    readonly responseTimeoutMs: number;
}
