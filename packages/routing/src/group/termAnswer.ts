import { LogPosition } from "@vanillarouter/base/logPosition";

/** Answer of an upstream that was asked to accept a term. */
export interface TermAnswer {
    readonly accepted: boolean;
    /** Highest term that it has accepted, this one included. */
    readonly acceptedTerm: number;
    /** Last entry that it holds. */
    readonly received: LogPosition;
}
