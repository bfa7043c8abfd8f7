/** A request to the administration API after its credential was checked. */
export interface ApiRequest {
    readonly method: string;
    /** Parts of the path, decoded, such as `["v1", "classes", "orders"]`. */
    readonly path: readonly string[];
    readonly query: URLSearchParams;
    /** Name of the operator, for the audit trail. */
    readonly author: string;
    /** Reads the JSON body. */
    readonly body: unknown;
}
