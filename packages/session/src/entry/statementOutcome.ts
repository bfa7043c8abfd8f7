import { ErrorKind } from "../model/errorKind";

/** The result of a statement. Either `error` is undefined and the receipt proves that the statement ran, or `error` says why it failed. */
export interface StatementOutcome {
    readonly rows: readonly string[];
    readonly receipt: string | undefined;
    readonly error: ErrorKind | undefined;
    readonly text: string;
}
