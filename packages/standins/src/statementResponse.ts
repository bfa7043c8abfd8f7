/** The response of a stand-in to a statement. A value of undefined is SQL NULL; `info` is the text in the OK packet. */
export type StatementResponse =
    | { readonly columns: readonly string[]; readonly rows: readonly (readonly (string | number | undefined)[])[]; }
    | { readonly affectedRows: number; readonly insertId: number; readonly info: string; };
