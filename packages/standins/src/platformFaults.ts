/** Faults that the platform stand-in plays until they are set again. */
export interface PlatformFaults {
    /** `refuse` answers every call with status 500; `silent` accepts calls and never answers. */
    readonly outage: "off" | "refuse" | "silent";
    /** Added to every answer, in milliseconds. */
    readonly delayMs: number;
    /** Answers reads from the state at the time when this was switched on. */
    readonly staleReads: boolean;
    /** Number of coming writes that take effect and whose connection is closed without an answer. */
    readonly loseReplies: number;
    /** Age of the VM list that callers see, in milliseconds. */
    readonly listLagMs: number;
}
