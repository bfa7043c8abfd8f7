import { LoadOutcome } from "./loadOutcome";

/** One request of the load with its end, as its caller saw it. */
export interface LoadRecord {
    /** Request id; every statement of the request carries it as a comment `ref=ID`. */
    readonly ref: string;
    readonly className: string;
    readonly group: string;
    /** Statements that change data; 0 for a read. */
    readonly writes: number;
    readonly outcome: LoadOutcome;
    readonly attempts: number;
    /** From the planned start, on the load's clock in milliseconds. */
    readonly startedAt: number;
    readonly latencyMs: number;
    /** Text of the last error. */
    readonly error?: string;
}
