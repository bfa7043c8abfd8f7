/** Faults that the platform stand-in simulates until they are changed. */
export interface PlatformFaults {
    /** With `refuse`, every request fails with status 500; with `silent`, requests are accepted but never get a response. */
    readonly outage: "off" | "refuse" | "silent";
    /** Delay added to every response, in milliseconds. */
    readonly delayMs: number;
    /** Whether reads return the state of the store at the time when this fault was set. */
    readonly staleReads: boolean;
    /** Number of subsequent writes that are processed, but whose connection is then closed without a response. */
    readonly loseReplies: number;
    /** Age of the VM list that clients see, in milliseconds. */
    readonly listLagMs: number;
}
