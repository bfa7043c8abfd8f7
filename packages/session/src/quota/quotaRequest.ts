/** A request of an entry VM for tokens of one part of a tenant's limit. */
export interface QuotaRequest {
    readonly tenant: string;
    /** Number of the part, from 0. */
    readonly part: number;
    /** Number of tokens wanted, at least 1. */
    readonly count: number;
}
