/** A team whose callers share keys and a quota. */
export interface Tenant {
    readonly name: string;
    /** Operations per second over all VMs; undefined without a quota. */
    readonly ratePerSecond: number | undefined;
    /** Operations that may be sent at once in addition; undefined without a quota. */
    readonly burst: number | undefined;
}
