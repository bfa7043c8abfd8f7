/** An authorized request to the administration API. */
export interface ApiRequest {
    readonly method: string;
    /** Decoded segments of the path, such as `["v1", "classes", "orders"]`. */
    readonly path: readonly string[];
    readonly query: URLSearchParams;
    /** Name of the operator, for the audit trail. */
    readonly author: string;
    /** The parsed JSON body; undefined if the request has none. */
    readonly body: unknown;
}
