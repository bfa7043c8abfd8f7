/** A request to the owner of a group's primary for the final outcome of a request whose response was lost. */
export interface OutcomeRequest {
    readonly requestId: string;
    readonly group: string;
    readonly upstream: string;
    readonly term: number;
    readonly timeoutMs: number;
}
