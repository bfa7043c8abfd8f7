/** Options of a session, given by a caller that connects or names a session. */
export interface SessionOptions {
    /** Name given by the caller; absent for a session that lives as long as its connection. */
    readonly name?: string;
    /** Encoded session token that the caller passed. */
    readonly token?: string;
}
