/** A load of reads from several choosers on several upstreams. */
export interface LoadScenario {
    readonly choosers: number;
    readonly upstreams: number;
    /** Reads of all choosers together. */
    readonly readsPerSecond: number;
    /** Whether the first upstream is a primary with writes, each upstream is in a zone of its own, and zones and roles have their penalties. */
    readonly isGroup: boolean;
    readonly writesPerSecond: number;
    /** Interval of the statuses that each chooser gets from each upstream, in milliseconds. */
    readonly newsIntervalMs: number;
    /** Whether all choosers get the statuses at the same moments. */
    readonly sharesNews: boolean;
    /** Whether the last upstream is slow. */
    readonly isLastSlow: boolean;
    /** Part of the requests that the last upstream fails after it ran them; others succeed in between. */
    readonly failingPart: number;
    readonly swings: boolean;
    /** Time in which the last upstream fails every request. */
    readonly outage?: { readonly fromMs: number; readonly toMs: number; };
}
