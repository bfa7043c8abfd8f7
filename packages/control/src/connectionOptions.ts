/** Options for connections to the administration API of a VM. */
export interface ConnectionOptions {
    /** URL such as `http://10.0.0.1:7300`. */
    readonly address: string;
    readonly credential: string;
    /** Name of the operator, for the audit trail. */
    readonly author: string;
    readonly timeoutMs: number;
}
