import { RunOutcome } from "./runOutcome";

/** An error with a result code. Returned in a `Result`, never thrown across a module boundary. */
export interface Failure {
    readonly code: number;
    readonly message: string;
    readonly outcome: RunOutcome;
    /** Machine-readable details, such as the conflicting change of a configuration. */
    readonly details?: unknown;
}
