import { RunOutcome } from "./runOutcome";

/** A numbered error. Returned in a `Result`, never thrown across a module boundary. */
export interface Failure {
    readonly code: number;
    readonly message: string;
    readonly outcome: RunOutcome;
    /** Details for programs, such as the conflicting change of a configuration. */
    readonly details?: unknown;
}
