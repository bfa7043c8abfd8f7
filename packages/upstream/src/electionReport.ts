import { GroupCondition } from "./groupCondition";

/** A completed primary change. Times are on the candidate's clock, in milliseconds. */
export interface ElectionReport {
    readonly group: string;
    readonly term: number;
    readonly primary: string;
    readonly previousPrimary?: string;
    readonly reason: GroupCondition | "primary leaving";
    /** Time from the last contact of any replica with the old primary until the candidate detected its loss; 0 if no primary was lost. */
    readonly detectionMs: number;
    /** Time from that detection to the promotion, including the candidate's own delay and all failed rounds. */
    readonly electionMs: number;
}
