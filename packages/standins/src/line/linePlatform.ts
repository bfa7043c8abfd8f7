import { FakeGroupServers } from "@vanillarouter/session/testing/fakeGroupServers";
import { LineStore } from "./lineStore";
import { LineUpstream } from "./lineUpstream";

const routes = [
    { name: "r1", host: "orders", type: "primary", slo_ms: 200, priority: 0 },
    { name: "r2", host: "views", type: "bounded_staleness", slo_ms: 800, priority: 2, max_staleness_ms: 1_000 },
    { name: "r3", host: "stock", type: "read_your_writes", slo_ms: 400, priority: 1, max_staleness_ms: 2_000 },
];

/** Stand-in of the whole platform: a store with a configuration, and one group of three upstreams under `ledger`. */
export class LinePlatform {
    public readonly group = FakeGroupServers.create();

    private constructor(public readonly store: LineStore, private readonly upstreams: LineUpstream[]) {}

    public static async create(): Promise<LinePlatform> {
        const upstreams: LineUpstream[] = [];
        const store = await LineStore.create(id => platform.promote(id));
        const platform = new LinePlatform(store, upstreams);
        for (const server of platform.group.servers) upstreams.push(await LineUpstream.create(server, "ledger"));
        platform.putConfiguration(1);
        platform.listUpstreams();
        return platform;
    }

    /** Writes a version of the configuration, with more databases if any are given. */
    public putConfiguration(version: number, ...databases: readonly string[]): void {
        const added = databases.map(host => ({ ...routes[0], name: host, host }));
        const all = [...routes, ...added].map(route => ({ ...route, service: "ledger", timeout_ms: 1_000 }));
        this.store.put("op/config", JSON.stringify({ version, routes: all, services: [{ name: "ledger", max_conns: 20 }], limits: { tx_idle_ms: 3_000 } }));
    }

    /** Writes the entry of every upstream. */
    public listUpstreams(): void {
        for (const { address, upstream } of this.upstreams) {
            const role = upstream.isPrimary ? "primary" : "replica";
            const entry = {
                service: "ledger",
                addr: address,
                zone: "zone-1",
                version: "1",
                slots: 4,
                state: "ready",
                cold_left_ms: 0,
                seq: 1,
                db_role: role,
                born: 1,
            };
            this.store.put(`servers/${upstream.id}`, JSON.stringify(entry));
        }
    }

    public close(): void {
        this.store.close();
        for (const upstream of this.upstreams) upstream.close();
    }

    private promote(id: string): void {
        this.group.promote(id);
        this.listUpstreams();
    }
}
