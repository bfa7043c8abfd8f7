/** What is known of a session when a caller connects or names one. */
export interface SessionOptions {
    /** Name given by the caller; absent for a session that lives as long as its connection. */
    readonly name?: string;
    /** Encoded session token that the caller brought along. */
    readonly token?: string;
}
