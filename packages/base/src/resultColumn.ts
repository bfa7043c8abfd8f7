/** A column of a result set, with the type and flag numbers of the MySQL protocol. */
export interface ResultColumn {
    readonly name: string;
    readonly type: number;
    readonly flags: number;
    readonly length: number;
    readonly characterSet: number;
}
