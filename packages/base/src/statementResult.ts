import { ResultColumn } from "./resultColumn";

/** The whole answer of an upstream to one statement. */
export interface StatementResult {
    readonly columns: readonly ResultColumn[];
    /** Values in text form; undefined stands for SQL NULL. */
    readonly rows: readonly (readonly (string | undefined)[])[];
    readonly affectedRows: number;
    readonly insertId: number;
    readonly info: string;
}
