import { ResultColumn } from "./resultColumn";

/** The complete result of one statement, as returned by an upstream. */
export interface StatementResult {
    readonly columns: readonly ResultColumn[];
    /** Values in text form; undefined stands for SQL NULL. */
    readonly rows: readonly (readonly (string | undefined)[])[];
    readonly affectedRows: number;
    readonly insertId: number;
    readonly info: string;
}
