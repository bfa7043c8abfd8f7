import { FakeGroupServers } from "@vanillarouter/session/testing/fakeGroupServers";
import { LineStore } from "./lineStore";
import { LineUpstream } from "./lineUpstream";
import { StoreBackup } from "./storeBackup";

const routes = [
    { name: "r1", host: "orders", type: "primary", slo_ms: 200, priority: 0 },
    { name: "r2", host: "views", type: "bounded_staleness", slo_ms: 800, priority: 2, max_staleness_ms: 1_000 },
    { name: "r3", host: "stock", type: "read_your_writes", slo_ms: 400, priority: 1, max_staleness_ms: 2_000 },
];

/** Stand-in for the whole platform: a store with a configuration, and a database group of three upstreams that is listed as the service `ledger`. */
export class LinePlatform {
    public readonly group = FakeGroupServers.create();
    /** Tenants and their keys in the next configuration; undefined if callers are not authenticated. */
    public keysByTenant: Readonly<Record<string, readonly string[]>> | undefined;
    /** Limit of each tenant in the next configuration, in operations per second and as a burst; undefined without quotas. */
    public tenantLimit: number | undefined;
    /** Databases that the next configuration makes public. */
    public publicDatabases: readonly string[] = [];
    private reportCount = 0;
    private rewriteConfiguration = (): void => {};

    private constructor(
        public readonly store: LineStore,
        public readonly upstreams: readonly LineUpstream[],
        private readonly maxConnections: number,
        private readonly findListedAddress: (address: string) => string,
    ) {}

    /** Lists each upstream under the address that `openProxy` returns for the upstream's own address. */
    public static async create(maxConnections = 20, openProxy: (address: string) => Promise<string> = async address => address): Promise<LinePlatform> {
        const upstreams: LineUpstream[] = [];
        const listedAddresses = new Map<string, string>();
        const store = await LineStore.create(id => platform.promote(id));
        const platform = new LinePlatform(store, upstreams, maxConnections, address => listedAddresses.get(address)!);
        for (const server of platform.group.servers) {
            const upstream = await LineUpstream.create(server, "ledger", user => platform.mayLogIn(user));
            upstreams.push(upstream);
            listedAddresses.set(upstream.address, await openProxy(upstream.address));
        }
        platform.putConfiguration(1);
        platform.putUpstreams();
        return platform;
    }

    /** Writes a version of the configuration, with a route to the primary for each additional database. */
    public putConfiguration(version: number, ...databases: readonly string[]): void {
        this.rewriteConfiguration = () => this.putConfiguration(version, ...databases);
        const limits = this.tenantLimit === undefined ? {} : { rate_per_s: this.tenantLimit, burst: this.tenantLimit };
        const tenants = this.keysByTenant && Object.entries(this.keysByTenant).map(([name, keys]) => ({ name, api_keys: keys, priority: 0, ...limits }));
        const addedRoutes = databases.map(host => ({ ...routes[0], name: host, host }));
        const allRoutes = [...routes, ...addedRoutes].map(route => ({
            ...route,
            service: "ledger",
            timeout_ms: 1_000,
            public: this.publicDatabases.includes(route.host),
        }));
        this.store.put(
            "op/config",
            JSON.stringify({
                version,
                routes: allRoutes,
                services: [{ name: "ledger", max_conns: this.maxConnections }],
                tenants,
                limits: { tx_idle_ms: 3_000 },
            }),
        );
    }

    /** Lists all upstreams, with their current roles, in the store. */
    public putUpstreams(): void {
        this.reportCount++;
        for (const { address, upstream } of this.upstreams) {
            const role = upstream.isPrimary ? "primary" : "replica";
            const entry = {
                service: "ledger",
                addr: this.findListedAddress(address),
                zone: "zone-1",
                version: "1",
                slots: 4,
                state: "ready",
                cold_left_ms: 0,
                seq: this.reportCount,
                db_role: role,
                born: 1,
            };
            this.store.put(`servers/${upstream.id}`, JSON.stringify(entry));
        }
    }

    /** Brings the store back from a backup. The operator and the upstreams then write again what is theirs. */
    public restoreStore(backup: StoreBackup, keepsConnections: boolean): void {
        this.store.restore(backup, keepsConnections);
        this.rewriteConfiguration();
        this.putUpstreams();
    }

    public close(): void {
        this.store.close();
        for (const upstream of this.upstreams) upstream.close();
    }

    /** Whether upstreams accept a login in this name: a tenant's, or the one for connections that belong to no tenant. */
    private mayLogIn(user: string | undefined): boolean {
        return this.keysByTenant === undefined || user === "vanillarouter" || (user !== undefined && Object.hasOwn(this.keysByTenant, user));
    }

    private promote(id: string): void {
        this.group.promote(id);
        this.putUpstreams();
    }
}
