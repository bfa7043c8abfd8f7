import { StatementKind } from "./statementKind";

/** One statement of a caller, decoded. */
export interface CallerStatement {
    readonly id: string;
    readonly kind: StatementKind;
    /** The statement as the caller sent it; upstreams receive it unchanged. */
    readonly text: string;
    /** Name of the session value or of the prepared statement. */
    readonly name: string;
    /** `SetValue`: the value. `Prepare`: the shape. `Execute`: the arguments as sent. */
    readonly argument: string;
    /** `Begin`: a read-only transaction. `Prepare`: the shape reads. */
    readonly readOnly: boolean;
}
