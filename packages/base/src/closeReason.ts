/** Why a connection was closed for exceeding a limit. The values are metric labels. */
export enum CloseReason {
    /** The message is longer than the limit. */
    MessageLength = "message-length",
    /** The login did not arrive in time. */
    LoginTime = "login-time",
    /** A message that had begun did not arrive in time. */
    MessageTime = "message-time",
    /** Responses were not read in time. */
    ResponseTime = "response-time",
    /** All connections together held too many bytes, and this one had held most for longest. */
    Memory = "memory",
    /** There were too many connections. */
    ConnectionCount = "connection-count",
}
