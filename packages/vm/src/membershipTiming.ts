/** Timing parameters of the failure detector, in milliseconds. */
export interface MembershipTiming {
    /** Interval between two probes sent by one member. */
    readonly probePeriodMs: number;
    /** Time to wait for the ack of a direct ping before indirect probes are sent. */
    readonly ackTimeoutMs: number;
    /** Time after which a suspected member is declared dead. */
    readonly suspicionTimeoutMs: number;
    /** Longest pause of the local process after which roles may be used without renewing membership. */
    readonly maxPauseMs: number;
}
