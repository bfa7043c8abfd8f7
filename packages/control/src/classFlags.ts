/** Flags of `vrctl classes set`. A flag that is absent leaves the value as it is. */
export interface ClassFlags {
    readonly rank?: string;
    readonly targetMs?: number;
    readonly maxAgeMs?: number;
    readonly readOnly?: boolean;
    /** Change id that the entry must have. */
    readonly expect?: string;
}
