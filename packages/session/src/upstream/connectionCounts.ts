/** Counts the connections of one pool by tenant, including those that are being dialed. Connections without a tenant have the key undefined. */
export class ConnectionCounts {
    private readonly counts = new Map<string | undefined, number>();
    private sum = 0;

    private constructor() {}

    public static create(): ConnectionCounts {
        return new ConnectionCounts();
    }

    public get total(): number {
        return this.sum;
    }

    /** Connections that belong to any tenant. */
    public get ofTenants(): number {
        return this.sum - this.get(undefined);
    }

    public get(tenant: string | undefined): number {
        return this.counts.get(tenant) ?? 0;
    }

    public add(tenant: string | undefined): void {
        this.sum++;
        this.counts.set(tenant, this.get(tenant) + 1);
    }

    public remove(tenant: string | undefined): void {
        this.sum--;
        const count = this.get(tenant) - 1;
        if (count > 0) this.counts.set(tenant, count);
        else this.counts.delete(tenant);
    }
}
