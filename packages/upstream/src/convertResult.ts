import { StatementResult } from "@vanillarouter/base/statementResult";

interface Mysql2Column {
    readonly name: string;
    readonly columnType: number;
    readonly flags: number;
    readonly columnLength: number;
    readonly characterSet: number;
}

interface Mysql2ResultHeader {
    readonly affectedRows?: number;
    readonly insertId?: number;
    readonly info?: string;
}

const binaryCharacterSet = 63;

/** Decodes a column value. Each byte of a binary column becomes one character, so that no byte is changed. */
function convertValue(value: Buffer | null, column: Mysql2Column): string | undefined {
    if (value === null) return undefined;
    return value.toString(column.characterSet === binaryCharacterSet ? "latin1" : "utf8");
}

/** Converts a result that `mysql2` returns with `typeCast: false` and `rowsAsArray: true`. */
export function convertResult(rows: unknown, fields: unknown): StatementResult {
    if (fields === undefined) {
        const { affectedRows = 0, insertId = 0, info = "" } = rows as Mysql2ResultHeader;
        return { columns: [], rows: [], affectedRows, insertId, info };
    }
    const columns = fields as readonly Mysql2Column[];
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
