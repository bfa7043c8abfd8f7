import { ErrorKind } from "../model/errorKind";

/** How a statement ended. Either `error` is undefined and a receipt proves the run, or `error` says what went wrong. */
export interface StatementOutcome {
    readonly rows: readonly string[];
    readonly receipt: string | undefined;
    readonly error: ErrorKind | undefined;
    readonly text: string;
}
