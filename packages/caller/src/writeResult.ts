import { ResultColumn } from "@vanillarouter/base/resultColumn";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { encodeOkPacket } from "./encodeOkPacket";
import { ProtocolColumn } from "./protocolColumn";
import { ServerConnection } from "./serverConnection";

function convertColumn(column: ResultColumn): ProtocolColumn {
    return {
        catalog: "def",
        schema: "",
        table: "",
        orgTable: "",
        name: column.name,
        orgName: column.name,
        characterSet: column.characterSet,
        columnLength: column.length,
        columnType: column.type,
        flags: column.flags,
        decimals: 0,
    };
}

/** Writes the complete result of a statement. `info` is sent only if the result has no columns. */
export function writeResult(connection: ServerConnection, result: StatementResult, statusFlags: number, info: string): void {
    if (result.columns.length === 0) {
        connection.writePacket(encodeOkPacket(result.affectedRows, result.insertId, statusFlags, info));
        return;
    }
    connection.writeColumns(result.columns.map(convertColumn));
    for (const row of result.rows) connection.writeTextRow(row.map(value => value ?? null));
    connection.writeEof(0, statusFlags);
}
