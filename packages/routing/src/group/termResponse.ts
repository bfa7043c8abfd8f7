import { LogPosition } from "@vanillarouter/base/logPosition";

/** Response of an upstream to a request to accept a term. */
export interface TermResponse {
    readonly accepted: boolean;
    /** Highest term that the upstream has accepted, including this one. */
    readonly acceptedTerm: number;
    /** Last log entry that the upstream holds. */
    readonly received: LogPosition;
}
