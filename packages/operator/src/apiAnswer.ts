/** An answer of the administration API. */
export interface ApiAnswer {
    readonly status: number;
    /** Sent as JSON, or as it is if `contentType` is given. */
    readonly body: unknown;
    readonly contentType?: string;
}
