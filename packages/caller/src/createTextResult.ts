import { ResultColumn } from "@vanillarouter/base/resultColumn";
import { StatementResult } from "@vanillarouter/base/statementResult";

const varStringType = 253;
const utf8mb4CharacterSet = 45;
const columnLength = 1024;

function createColumn(name: string): ResultColumn {
    return { name, type: varStringType, flags: 0, length: columnLength, characterSet: utf8mb4CharacterSet };
}

/** Creates the result of a statement that the entry VM executes itself. A result without columns means success without rows. */
export function createTextResult(columns: readonly string[], rows: readonly (readonly (string | undefined)[])[]): StatementResult {
    return { columns: columns.map(createColumn), rows, affectedRows: 0, insertId: 0, info: "" };
}
