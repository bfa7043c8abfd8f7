import { ConnectionChoice } from "./connectionChoice";
import { ConnectionChoiceKind } from "./connectionChoiceKind";
import { ConnectionCounts } from "./connectionCounts";
import { IdleConnections } from "./idleConnections";
import { PoolLimits } from "./poolLimits";
import { TenantDemand } from "./tenantDemand";
import { TransactionCounts } from "./transactionCounts";
import { UpstreamConnection } from "./upstreamConnection";

/** Up to this many idle connections without a tenant are kept, however many connections are open. */
const minIdleConnections = 2;
/** Connections that tenants leave free for status and fencing commands, which decide failovers. */
const controlConnections = 1;
/** With a lower limit tenants may hold all connections; control commands then exceed the limit by one. */
const minLimitWithReserve = 4;
/** Part of a pool's connections that one tenant may hold in statements and transactions. */
const maxTenantFraction = 0.5;
/** Part of a pool's connections, and of a tenant's share of them, that transactions may hold. The rest is left to single statements. */
const maxTransactionFraction = 0.75;

/**
 * Decides whether an operation of a tenant reuses a connection, opens one, for which another one may have to be closed, or waits.
 *
 * It answers many tenants of very unequal size in front of few connections, of which each belongs to one tenant: the connection
 * that its tenant needs least often is closed. It also answers many idle transactions: those of one tenant leave more than half of the
 * connections to others, and all together leave a quarter to single statements.
 */
export class ConnectionChooser {
    private constructor(
        private readonly counts: ConnectionCounts,
        private readonly transactions: TransactionCounts,
        private readonly idle: IdleConnections,
        private readonly demand: TenantDemand,
        private readonly limits: PoolLimits,
    ) {}

    public static create(
        counts: ConnectionCounts,
        transactions: TransactionCounts,
        idle: IdleConnections,
        demand: TenantDemand,
        limits: PoolLimits,
    ): ConnectionChooser {
        return new ConnectionChooser(counts, transactions, idle, demand, limits);
    }

    /** Chooses for a tenant, or for callers without one. `mayOpen` is false while no connection may be opened because of a failure. */
    public choose(tenant: string | undefined, opensTransaction: boolean, mayOpen: boolean, now: number): ConnectionChoice {
        if (this.isAtShare(tenant, opensTransaction)) return { kind: ConnectionChoiceKind.Wait };
        if (this.idle.count(tenant) > 0) return { kind: ConnectionChoiceKind.Reuse };
        if (!mayOpen) return { kind: ConnectionChoiceKind.Wait };
        if (this.hasRoom(tenant)) return { kind: ConnectionChoiceKind.Open };
        const evicted = this.counts.total > this.limits.getConnectionLimit() ? undefined : this.findEvictable(tenant, now);
        return evicted === undefined ? { kind: ConnectionChoiceKind.Wait } : { kind: ConnectionChoiceKind.Open, evicted };
    }

    /** Returns the idle connection of another tenant than the given one that is least worth keeping; undefined if none may be closed. */
    public findEvictable(tenant: string | undefined, now: number): UpstreamConnection | undefined {
        const mayCloseWithoutTenant = this.counts.ofTenants < this.maxOfTenants;
        const others = this.idle.all.filter(connection => connection.tenant !== tenant);
        return this.findLeastNeeded(others.filter(connection => connection.tenant !== undefined || mayCloseWithoutTenant), now);
    }

    /** Returns the idle connection to close because the pool has more than its limit allows, which may have become lower. */
    public findSurplus(now: number): UpstreamConnection | undefined {
        if (this.counts.ofTenants === 0 || this.counts.total <= this.limits.getConnectionLimit()) return undefined;
        const mayCloseWithoutTenant = this.counts.get(undefined) > controlConnections;
        return this.findLeastNeeded(this.idle.all.filter(connection => connection.tenant !== undefined || mayCloseWithoutTenant), now);
    }

    /** Returns the idle connection without a tenant that is left to other VMs, if `openCount` of them are open. Those of tenants are kept. */
    public findExcessWithoutTenant(openCount: number): UpstreamConnection | undefined {
        const idle = this.idle.list(undefined);
        return idle.length > minIdleConnections && openCount > this.limits.getConnectionLimit() / 2 ? idle[0] : undefined;
    }

    /** Connections that a tenant, or callers without one, hold or are opening. */
    public countHeld(tenant: string | undefined): number {
        return this.counts.get(tenant) - this.idle.count(tenant);
    }

    private isAtShare(tenant: string | undefined, opensTransaction: boolean): boolean {
        if (tenant === undefined && !this.limits.hasTenants()) return false;
        const limit = this.limits.getConnectionLimit();
        const share = Math.max(1, Math.floor(limit * maxTenantFraction));
        if (this.countHeld(tenant) >= share) return true;
        return opensTransaction
            && (this.isAtTransactionShare(this.transactions.get(tenant), share) || this.isAtTransactionShare(this.transactions.total, limit));
    }

    private isAtTransactionShare(transactions: number, connections: number): boolean {
        return transactions >= Math.max(1, Math.floor(connections * maxTransactionFraction));
    }

    private hasRoom(tenant: string | undefined): boolean {
        return this.counts.total < this.limits.getConnectionLimit() && (tenant === undefined || this.counts.ofTenants < this.maxOfTenants);
    }

    private get maxOfTenants(): number {
        const limit = this.limits.getConnectionLimit();
        return limit >= minLimitWithReserve ? limit - controlConnections : limit;
    }

    /** Of equally needed connections the one that has been idle for longest is returned. */
    private findLeastNeeded(candidates: readonly UpstreamConnection[], now: number): UpstreamConnection | undefined {
        let least: UpstreamConnection | undefined;
        let leastRate = Number.POSITIVE_INFINITY;
        for (const connection of candidates) {
            const rate = this.demand.read(connection.tenant, this.counts.get(connection.tenant), now);
            if (rate >= leastRate) continue;
            least = connection;
            leastRate = rate;
        }
        return least;
    }
}
