import { Operation } from "@vanillarouter/base/operation";
import { CallerStatement } from "./callerStatement";
import { ErrorKind } from "./errorKind";
import { TransactionState } from "./transactionState";

/** A caller's connection after the login request has been read. */
export interface CallerChannel {
    readonly database: string;
    readonly callerAddress: string;
    /** What the caller sent at login to identify itself; undefined if it sent nothing or after `forgetCredential`. Must not be logged. */
    readonly credential: string | undefined;
    /** Drops the credential. Called once its digest is known. */
    forgetCredential(): void;
    /** Waits for the next statement. Returns undefined when the caller has disconnected. */
    receive(): Operation<CallerStatement | undefined>;
    /** Reports the total length of the session values and prepared statements that are held for the caller. */
    recordSessionLength(length: number): void;
    /** Accepts the login or ends a response, reporting the transaction state of the session. */
    sendReady(state: TransactionState): void;
    /** Responds to a statement. `receipt` is undefined for statements that no upstream ran. */
    sendSuccess(rows: readonly string[], receipt: string | undefined, state: TransactionState): void;
    /** `text` must not contain line breaks. */
    sendError(error: ErrorKind, text: string, state: TransactionState): void;
    /** Rejects the login and closes the connection. */
    rejectLogin(error: ErrorKind, text: string): void;
    /** Calls `listener` once the connection has closed, also if statements that arrived before have not been received yet. */
    onClosed(listener: () => void): void;
    close(): void;
}
