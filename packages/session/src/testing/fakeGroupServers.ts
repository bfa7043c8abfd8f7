import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { FakeUpstreamServer } from "./fakeUpstreamServer";

/** A fake database group of three upstreams whose first primary is `u1`. Replication is immediate unless it is disabled. */
export class FakeGroupServers {
    public readonly servers: FakeUpstreamServer[];
    /** Ids of the upstreams that were promoted, in order. */
    public readonly promotions: string[] = [];
    /** Ids of the log entries that were replicated to at least one other upstream. */
    public readonly copiedIds = new Set<string>();

    private constructor() {
        this.servers = ["u1", "u2", "u3"].map(id => FakeUpstreamServer.create(id, from => this.replicate(from)));
        this.servers[0]!.isPrimary = true;
    }

    public static create(): FakeGroupServers {
        return new FakeGroupServers();
    }

    /** Adds an upstream that is neither primary nor replica of the group. */
    public addServer(id: string): FakeUpstreamServer {
        const server = FakeUpstreamServer.create(id, () => undefined);
        server.isReplicating = false;
        this.servers.push(server);
        return server;
    }

    public find(id: string): FakeUpstreamServer {
        return this.servers.find(server => server.id === id)!;
    }

    /** Makes an upstream the primary of the next term. The others become its replicas if they are replicating. */
    public promote(id: string): void {
        const promoted = this.find(id);
        this.promotions.push(id);
        promoted.isPrimary = true;
        promoted.term = 1 + Math.max(...this.servers.map(server => server.term));
        promoted.isReplicating = true;
        // A promotion removes the fences of all upstreams that it reaches.
        for (const server of this.servers) {
            if (server.isReplicating) server.fenceTerm = 0;
        }
        this.replicate(promoted);
    }

    private replicate(from: FakeUpstreamServer): void {
        for (const server of this.servers) {
            const isFollower = server !== from && server.isReplicating && from.isReplicating && server.fenceTerm <= from.term && server.term <= from.term;
            if (!isFollower) continue;
            server.term = from.term;
            server.isPrimary = false;
            server.fenceTerm = 0;
            while (server.log.length > 0 && !from.log.some(entry => compareLogPositions(entry.at, server.position) === 0)) server.log.pop();
            const missing = from.log.slice(server.log.length);
            server.log.push(...missing);
            for (const { id } of missing) this.copiedIds.add(id);
        }
    }
}
