import { Operation } from "@vanillarouter/base/operation";
import { CallerStatement } from "./callerStatement";
import { ErrorKind } from "./errorKind";
import { TransactionState } from "./transactionState";

/** The connection of one caller, after its login. */
export interface CallerChannel {
    readonly database: string;
    readonly peer: string;
    /** Waits for the next statement; undefined when the caller has left. */
    receive(): Operation<CallerStatement | undefined>;
    /** Answers the login or ends an answer, with the state of the session. */
    sendReady(state: TransactionState): void;
    /** Answers a statement. `receipt` is undefined for statements that no upstream ran. */
    sendSuccess(rows: readonly string[], receipt: string | undefined, state: TransactionState): void;
    /** `text` must not contain line breaks. */
    sendError(error: ErrorKind, text: string, state: TransactionState): void;
    /** Refuses the login and closes. */
    refuse(error: ErrorKind, text: string): void;
    close(): void;
}
