/** What a run does besides ordinary load. Times are milliseconds from its start. */
export interface Scenario {
    readonly name: string;
    /** Requests that arrive from here on count; before it, the system learns ordinary shares. */
    readonly countFrom: number;
    /** No request arrives after this. */
    readonly end: number;
    /** Class that arrives in excess from `countFrom` on, in multiples of the fleet's capacity. */
    readonly overload?: { readonly className: string; readonly factor: number; };
    /** Primaries that fail one after another. */
    readonly failures: readonly { readonly at: number; readonly group: string; readonly kind: "crashed" | "silent"; readonly durationMs: number; }[];
    /** Replicas whose replication stops for a time. */
    readonly lags: readonly { readonly at: number; readonly group: string; readonly durationMs: number; }[];
}
