import { CallerStatement } from "../model/callerStatement";
import { StatementKind } from "../model/statementKind";
import { PreparedStatement } from "./preparedStatement";

/** Session values and prepared statements of a caller's connection, which any upstream connection that serves it must have. */
export class SessionValues {
    public readonly values = new Map<string, string>();
    /** Prepared statements by the caller's names for them. */
    public readonly prepared = new Map<string, PreparedStatement>();

    private constructor() {}

    public static create(): SessionValues {
        return new SessionValues();
    }

    /** Returns the prepared statement that a statement executes; undefined if it executes none, or one that the session has not prepared. */
    public findPrepared(statement: CallerStatement): PreparedStatement | undefined {
        return statement.kind === StatementKind.Execute ? this.prepared.get(statement.name) : undefined;
    }

    /** Whether a statement only reads, so that it can be repeated. */
    public isReadOnly(statement: CallerStatement): boolean {
        return statement.kind === StatementKind.Read || this.findPrepared(statement)?.readOnly === true;
    }
}
