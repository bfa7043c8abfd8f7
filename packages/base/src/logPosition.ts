/** Identifies a log entry of a database group: the term in which it was written and its position in the log. */
export interface LogPosition {
    readonly term: number;
    readonly position: number;
}
