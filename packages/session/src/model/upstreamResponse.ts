import { LogPosition } from "@vanillarouter/base/logPosition";
import { ErrorKind } from "./errorKind";
import { TransactionState } from "./transactionState";

/** An upstream's complete response to one command. */
export interface UpstreamResponse {
    readonly rows: readonly string[];
    /** Proof that the upstream ran the statement, passed on to the caller. Undefined after an error. */
    readonly receipt: string | undefined;
    readonly error: ErrorKind | undefined;
    readonly errorText: string;
    readonly state: TransactionState;
    /** Position of the last log entry that the upstream has applied. */
    readonly applied: LogPosition | undefined;
}
