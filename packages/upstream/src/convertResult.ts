import { StatementResult } from "@vanillarouter/base/statementResult";

interface LibraryColumn {
    readonly name: string;
    readonly columnType: number;
    readonly flags: number;
    readonly columnLength: number;
    readonly characterSet: number;
}

interface LibraryHeader {
    readonly affectedRows?: number;
    readonly insertId?: number;
    readonly info?: string;
}

const binaryCharacterSet = 63;

/** Bytes of a binary column become one character each, so that no value is changed. */
function convertValue(value: Buffer | null, column: LibraryColumn): string | undefined {
    if (value === null) return undefined;
    return value.toString(column.characterSet === binaryCharacterSet ? "latin1" : "utf8");
}

/** Converts what `mysql2` returns with `typeCast: false` and `rowsAsArray: true`. */
export function convertResult(rows: unknown, fields: unknown): StatementResult {
    if (fields === undefined) {
        const { affectedRows = 0, insertId = 0, info = "" } = rows as LibraryHeader;
        return { columns: [], rows: [], affectedRows, insertId, info };
    }
    const columns = fields as readonly LibraryColumn[];
    return {
        columns: columns.map(column => ({
            name: column.name,
            type: column.columnType,
            flags: column.flags,
            length: column.columnLength,
            characterSet: column.characterSet,
        })),
        rows: (rows as readonly (readonly (Buffer | null)[])[]).map(row => row.map((value, index) => convertValue(value, columns[index]!))),
        affectedRows: 0,
        insertId: 0,
        info: "",
    };
}
