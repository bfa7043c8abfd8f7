/** A step of an election as an upstream saw it. */
export interface TermChange {
    /** Time of the run, in milliseconds. */
    readonly at: number;
    readonly group: string;
    readonly change: "accepted" | "promoted";
    readonly term: number;
}
