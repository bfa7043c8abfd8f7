/** What each part of a tenant's limit may grant. */
export interface PartLimit {
    /** Number of parts of the tenant. */
    readonly parts: number;
    /** Tokens per second of one part. */
    readonly ratePerSecond: number;
    /** Tokens that the bucket of one part holds at most. */
    readonly capacity: number;
}
