/** Identifies an entry of a database group's log: the term in which it was written and its position. */
export interface LogPosition {
    readonly term: number;
    readonly position: number;
}
