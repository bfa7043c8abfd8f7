import { ConnectionCounts } from "./connectionCounts";
import { UpstreamConnection } from "./upstreamConnection";

/** Counts the connections of one pool that transactions hold or are getting, by tenant. */
export class TransactionCounts {
    private readonly counts = ConnectionCounts.create();
    private readonly connections = new Set<UpstreamConnection>();

    private constructor() {}

    public static create(): TransactionCounts {
        return new TransactionCounts();
    }

    public get total(): number {
        return this.counts.total;
    }

    public get(tenant: string | undefined): number {
        return this.counts.get(tenant);
    }

    /** Counts a transaction. `connection` is undefined while one is being opened for it. */
    public begin(tenant: string | undefined, connection?: UpstreamConnection): void {
        this.counts.add(tenant);
        if (connection !== undefined) this.connections.add(connection);
    }

    /** Records the connection that was opened for a transaction; undefined if none could be opened. */
    public assign(tenant: string | undefined, connection: UpstreamConnection | undefined): void {
        if (connection !== undefined) this.connections.add(connection);
        else this.counts.remove(tenant);
    }

    /** Ends the transaction of a connection, if it has one. */
    public end(connection: UpstreamConnection): void {
        if (this.connections.delete(connection)) this.counts.remove(connection.tenant);
    }
}
