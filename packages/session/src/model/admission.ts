/** Result of an admission check. */
export interface Admission {
    readonly isAdmitted: boolean;
    /** Time in milliseconds after which a refused operation may be sent again; 0 if it is admitted. */
    readonly retryDelayMs: number;
}
