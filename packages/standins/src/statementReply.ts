/** The answer of a stand-in to a statement. Undefined stands for SQL NULL. */
export type StatementReply =
    | { readonly columns: readonly string[]; readonly rows: readonly (readonly (string | number | undefined)[])[]; }
    | { readonly affectedRows: number; readonly insertId: number; readonly message: string; };
