import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { Result } from "ts-results";
import { SessionOptions } from "./sessionOptions";
import { StatementRequest } from "./statementRequest";
import { StatementResponse } from "./statementResponse";

/**
 * The entry role's state for one caller connection: session floors and at most one open transaction. It is used by a
 * single task, as the statements of a connection run one after another.
 */
export interface CallerSession {
    /** Encoded token with the session's floors. */
    readonly token: string;
    readonly inTransaction: boolean;
    /** Switches to a named session, or merges the floors of a token. Fails on a token that is not authentic. */
    attach(options: SessionOptions): Result<void, Failure>;
    /** Runs one statement, including BEGIN, COMMIT and ROLLBACK, until its outcome is known or its deadline has passed. */
    execute(req: StatementRequest): Operation<Result<StatementResponse, Failure>>;
    /** Rolls back an open transaction. Called when the connection ends. */
    close(): Operation<void>;
}
