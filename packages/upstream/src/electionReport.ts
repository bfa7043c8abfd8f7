import { GroupCondition } from "./groupCondition";

/** A completed primary change. Times are on the candidate's clock, in milliseconds. */
export interface ElectionReport {
    readonly group: string;
    readonly term: number;
    readonly primary: string;
    readonly previousPrimary?: string;
    readonly reason: GroupCondition | "primary leaving";
    /** From the last contact of any replica with the old primary until the candidate concluded the loss; 0 if none was lost. */
    readonly detectionMs: number;
    /** From that conclusion to the promotion, with the candidate's own delay and all failed rounds. */
    readonly electionMs: number;
}
