import { Clock } from "@vanillarouter/base/clock";
import { ClusterState } from "../cluster/clusterState";
import { UpstreamDialer } from "../model/upstreamDialer";
import { UpstreamEntry } from "../model/upstreamEntry";
import { ConnectionObserver } from "./connectionObserver";
import { silentConnectionObserver } from "./silentConnectionObserver";
import { UpstreamPool } from "./upstreamPool";

/** Number of idle connections per pool that are never closed for being idle. */
const keptIdleConnections = 1;

/** The connection pools of the upstreams that service discovery lists. */
export class UpstreamPools {
    private readonly pools = new Map<string, UpstreamPool>();

    private constructor(
        private readonly cluster: ClusterState,
        private readonly clock: Clock,
        private readonly dialer: UpstreamDialer,
        public readonly zone: string,
        private readonly observer: ConnectionObserver,
    ) {}

    public static create(
        cluster: ClusterState,
        clock: Clock,
        dialer: UpstreamDialer,
        zone: string,
        observer: ConnectionObserver = silentConnectionObserver,
    ): UpstreamPools {
        return new UpstreamPools(cluster, clock, dialer, zone, observer);
    }

    public list(service: string): readonly UpstreamPool[] {
        return this.cluster.listUpstreams(service).map(upstream => this.getOrCreate(upstream));
    }

    public find(id: string): UpstreamPool | undefined {
        const upstream = this.cluster.findUpstream(id);
        return upstream === undefined ? undefined : this.getOrCreate(upstream);
    }

    /** Whether an upstream has been leaving for so long that it must get no new work. */
    public isLeavingGraceOver(id: string): boolean {
        return this.cluster.isLeavingGraceOver(id);
    }

    public get all(): readonly UpstreamPool[] {
        return [...this.pools.values()];
    }

    /** Removes the pools of upstreams that are no longer listed, and closes connections that have been idle for too long. */
    public closeUnused(maxIdleMs: number): void {
        for (const [id, pool] of this.pools) {
            if (this.cluster.findUpstream(id) === undefined) {
                // Only idle connections are closed: statements in flight keep theirs, and no new ones reach a removed pool.
                this.pools.delete(id);
                pool.closeIdle(0, 0, false);
            }
            else {
                const isGateway = this.cluster.gateways.isGateway(pool.upstream.service);
                pool.closeIdle(maxIdleMs, isGateway ? keptIdleConnections : 0, isGateway && this.hasTenants);
            }
        }
    }

    private get hasTenants(): boolean {
        return this.cluster.configuration?.tenants !== undefined;
    }

    private getOrCreate(upstream: UpstreamEntry): UpstreamPool {
        const known = this.pools.get(upstream.id);
        if (known !== undefined && known.upstream === upstream) return known;
        if (known !== undefined && this.isSameUpstream(known.upstream, upstream)) {
            known.update(upstream);
            return known;
        }
        known?.close();
        const { gateways } = this.cluster;
        const limits = {
            getConnectionLimit: () => gateways.getConnectionLimit(upstream.service),
            getGatewayCount: () => gateways.list(upstream.service).length,
            hasTenants: () => this.hasTenants,
        };
        const pool = UpstreamPool.create(upstream, this.clock, this.dialer, limits, this.observer);
        // The upstream was restarted: its work and its connections are gone.
        if (known !== undefined) pool.failures.recordReturn(this.clock.now());
        this.pools.set(upstream.id, pool);
        return pool;
    }

    private isSameUpstream(first: UpstreamEntry, second: UpstreamEntry): boolean {
        return first.host === second.host && first.port === second.port && first.startedAtMs === second.startedAtMs && first.service === second.service;
    }
}
