import { SessionValues } from "../entry/sessionValues";
import { UpstreamConnection } from "./upstreamConnection";

/** The idle connections of one pool, the one that became idle last at the end. A connection is returned only to its own tenant. */
export class IdleConnections {
    private readonly connections: UpstreamConnection[] = [];

    private constructor() {}

    public static create(): IdleConnections {
        return new IdleConnections();
    }

    public get all(): readonly UpstreamConnection[] {
        return this.connections;
    }

    public count(tenant: string | undefined): number {
        return this.list(tenant).length;
    }

    /** Returns the idle connections of a tenant, or those without a tenant, in the order in which they became idle. */
    public list(tenant: string | undefined): readonly UpstreamConnection[] {
        return this.connections.filter(connection => connection.tenant === tenant);
    }

    public add(connection: UpstreamConnection): void {
        this.connections.push(connection);
    }

    public remove(connection: UpstreamConnection): void {
        const index = this.connections.indexOf(connection);
        if (index >= 0) this.connections.splice(index, 1);
    }

    /** Takes the connection of a tenant that needs the fewest commands to get the session's values, and of these the one used last. */
    public take(tenant: string | undefined, session: SessionValues): UpstreamConnection | undefined {
        let best: UpstreamConnection | undefined;
        let bestCost = Number.POSITIVE_INFINITY;
        for (const connection of this.connections) {
            if (connection.tenant !== tenant) continue;
            const cost = connection.countSetupCommands(session);
            if (cost > bestCost) continue;
            best = connection;
            bestCost = cost;
        }
        if (best !== undefined) this.remove(best);
        return best;
    }

    /** Takes a connection for a command that belongs to no tenant: the last one without a tenant, else the one that was used least recently. */
    public takeAny(): UpstreamConnection | undefined {
        const connection = this.list(undefined).at(-1) ?? this.connections[0];
        if (connection !== undefined) this.remove(connection);
        return connection;
    }
}
