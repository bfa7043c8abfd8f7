/** A response of the administration API. */
export interface ApiResponse {
    readonly status: number;
    /** Sent as JSON, or unchanged if `contentType` is given. */
    readonly body: unknown;
    readonly contentType?: string;
}
