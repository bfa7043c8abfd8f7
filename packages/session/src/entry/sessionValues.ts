import { CallerStatement } from "../model/callerStatement";
import { StatementKind } from "../model/statementKind";
import { PreparedStatement } from "./preparedStatement";

/** Session values and prepared statements of a caller's connection, which any upstream connection that serves it must have. */
export class SessionValues {
    public readonly values = new Map<string, string>();
    /** Prepared statements by the caller's names for them. */
    public readonly prepared = new Map<string, PreparedStatement>();

    private totalLength = 0;

    private constructor() {}

    public static create(): SessionValues {
        return new SessionValues();
    }

    /** Length of all names, values and shapes. */
    public get length(): number {
        return this.totalLength;
    }

    public setValue(name: string, value: string): void {
        this.totalLength += value.length - (this.values.get(name)?.length ?? -name.length);
        this.values.set(name, value);
    }

    public prepare(name: string, statement: PreparedStatement): void {
        this.totalLength += statement.shape.length - (this.prepared.get(name)?.shape.length ?? -name.length);
        this.prepared.set(name, statement);
    }

    public deallocate(name: string): void {
        const statement = this.prepared.get(name);
        if (statement === undefined) return;
        this.totalLength -= name.length + statement.shape.length;
        this.prepared.delete(name);
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
