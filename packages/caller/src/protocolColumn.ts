/** A column definition as `mysql2` writes it. */
export interface ProtocolColumn {
    readonly catalog: string;
    readonly schema: string;
    readonly table: string;
    readonly orgTable: string;
    readonly name: string;
    readonly orgName: string;
    readonly characterSet: number;
    readonly columnLength: number;
    readonly columnType: number;
    readonly flags: number;
    readonly decimals: number;
}
