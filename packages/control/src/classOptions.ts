/** Options of `vrctl classes set`. An absent option leaves the value unchanged. */
export interface ClassOptions {
    readonly rank?: string;
    readonly targetMs?: number;
    readonly maxAgeMs?: number;
    readonly readOnly?: boolean;
    /** Change id that the class must have for the command to succeed. */
    readonly expect?: string;
}
