import { StatementKind } from "./statementKind";

/** A decoded statement from a caller. */
export interface CallerStatement {
    readonly id: string;
    readonly kind: StatementKind;
    /** The statement as the caller sent it; upstreams receive it unchanged. */
    readonly text: string;
    /** Name of the session value or of the prepared statement; empty for statements that use neither. */
    readonly name: string;
    /** `SetValue`: the value. `Prepare`: the statement with placeholders. `Execute`: the arguments as sent. Empty for other statements. */
    readonly argument: string;
    /** `Begin`: the transaction is read-only. `Prepare`: the prepared statement only reads. */
    readonly readOnly: boolean;
}
