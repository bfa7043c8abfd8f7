/** A keeper's response to a request for tokens. */
export interface QuotaGrant {
    /** Number of tokens granted; at most as many as were requested. */
    readonly count: number;
    /** Time in milliseconds before which the keeper need not be asked again for this part; 0 if all requested tokens are granted. */
    readonly retryMs: number;
}
