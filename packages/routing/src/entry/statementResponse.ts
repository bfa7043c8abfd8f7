import { StatementResult } from "@vanillarouter/base/statementResult";

/** The response to a statement as it is returned to the caller. */
export interface StatementResponse {
    readonly result: StatementResult;
    /** Encoded session token after the statement; absent when the session's floors did not change. */
    readonly token?: string;
    /** Upstream that ran the statement; absent if the entry VM responded without one. */
    readonly upstream?: string;
}
