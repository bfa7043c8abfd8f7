import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { Err, Ok, Result } from "ts-results";
import { hasCallerLeft } from "../entry/hasCallerLeft";
import { ErrorKind } from "../model/errorKind";
import { UpstreamDialer } from "../model/upstreamDialer";
import { ConnectionChoice } from "./connectionChoice";
import { ConnectionChoiceKind } from "./connectionChoiceKind";
import { ConnectionChooser } from "./connectionChooser";
import { ConnectionCounts } from "./connectionCounts";
import { ConnectionObserver } from "./connectionObserver";
import { ConnectionOpener } from "./connectionOpener";
import { ConnectionReporter } from "./connectionReporter";
import { estimateConnectionCostMs } from "./estimateConnectionCostMs";
import { IdleConnections } from "./idleConnections";
import { PoolLimits } from "./poolLimits";
import { runUnlessAbandoned } from "./runUnlessAbandoned";
import { SlotRequest } from "./slotRequest";
import { TenantDemand } from "./tenantDemand";
import { TransactionCounts } from "./transactionCounts";
import { UpstreamConnection } from "./upstreamConnection";
import { WaitQueue } from "./waitQueue";

/** Waiters look again after this time, because a pause of the opener ends without an event. */
const recheckIntervalMs = 150;
/** A connection is handed to its tenant's work this often before other work that has waited for longer, to save the cost of opening. */
const maxPassedOver = 8;
/** Rank of status and fencing commands, before all classes of work. */
const controlRank = -1;

/** The connections of one pool: those in use, the idle ones, and the work that waits for one. */
export class PoolConnections {
    private readonly open = new Set<UpstreamConnection>();
    private readonly idle = IdleConnections.create();
    private readonly counts = ConnectionCounts.create();
    private readonly transactions = TransactionCounts.create();
    private readonly demand = TenantDemand.create();
    private readonly queue = WaitQueue.create();
    private readonly chooser: ConnectionChooser;
    private readonly opener: ConnectionOpener;
    private isClosed = false;

    private constructor(
        private readonly clock: Clock,
        dialer: UpstreamDialer,
        private readonly limits: PoolLimits,
        private readonly reporter: ConnectionReporter,
        private readonly observer: ConnectionObserver,
    ) {
        this.opener = ConnectionOpener.create(clock, dialer, reporter);
        this.chooser = ConnectionChooser.create(this.counts, this.transactions, this.idle, this.demand, limits);
    }

    public static create(
        clock: Clock,
        dialer: UpstreamDialer,
        limits: PoolLimits,
        reporter: ConnectionReporter,
        observer: ConnectionObserver,
    ): PoolConnections {
        return new PoolConnections(clock, dialer, limits, reporter, observer);
    }

    /** Number of connections that are open or being dialed. */
    public get count(): number {
        return this.counts.total;
    }

    /** Whether no connection is open and none may be dialed yet, because a dial has just failed. */
    public get isUnavailable(): boolean {
        return this.opener.isBlocked && this.open.size === 0;
    }

    /** Returns the expected cost of a connection for a tenant in milliseconds; 0 in an installation without tenants. */
    public computeCostMs(tenant: string | undefined): number {
        if (tenant === undefined && !this.limits.hasTenants()) return 0;
        return estimateConnectionCostMs(this.choose(tenant).kind);
    }

    /**
     * Returns a connection of the request's tenant. With `mayWait` waits for it; otherwise returns undefined if it would have to
     * wait. Fails with `Busy` at `waitDeadline`, with the error of a failed dial, or with `Other` if none may be dialed yet.
     */
    public *obtain(request: SlotRequest, mayWait: boolean): Operation<Result<UpstreamConnection, ErrorKind> | undefined> {
        for (;;) {
            const choice = this.choose(request.tenant, request.opensTransaction);
            if (choice.kind === ConnectionChoiceKind.Reuse) return Ok(this.take(request));
            const now = this.clock.now();
            if (this.isClosed || now >= request.waitDeadline) return Err(ErrorKind.Busy);
            if (hasCallerLeft(request)) return this.passOn();
            if (choice.kind === ConnectionChoiceKind.Open) {
                const dialed = yield* this.dial(request.tenant, choice.evicted, request.opensTransaction);
                if (dialed.ok) this.recordDemand(request.tenant);
                if (dialed.ok || dialed.val !== ErrorKind.TooManyConnections) return dialed;
                const evicted = this.chooser.findEvictable(request.tenant, this.clock.now());
                if (evicted !== undefined) this.evict(evicted, request.tenant);
                continue;
            }
            if (this.isUnavailable) return Err(ErrorKind.Other);
            if (!mayWait) return undefined;
            yield* this.wait(request, now, request.waitDeadline - now);
        }
    }

    /**
     * Waits until the request can get a connection. Returns the connection if the request had to wait for it, so that no other
     * work takes it meanwhile. Fails with `Busy` when the response would be too late.
     */
    public *waitForTurn(request: SlotRequest): Operation<Result<UpstreamConnection | undefined, ErrorKind>> {
        const deadline = Math.min(request.deadline, request.waitDeadline);
        for (let hasWaited = false;; hasWaited = true) {
            const now = this.clock.now();
            const { kind } = this.choose(request.tenant, request.opensTransaction);
            if (kind === ConnectionChoiceKind.Reuse && hasWaited) return Ok(this.take(request));
            if (kind !== ConnectionChoiceKind.Wait) return Ok(undefined);
            if (this.isClosed || now >= deadline) return Err(ErrorKind.Busy);
            if (hasCallerLeft(request)) return this.passOn();
            if (this.isUnavailable) return Err(ErrorKind.Other);
            yield* this.wait(request, request.receivedAt, deadline - now);
        }
    }

    /** Returns an idle connection of any tenant, or a new one without a tenant; undefined if none can be opened. */
    public *obtainForControl(): Operation<UpstreamConnection | undefined> {
        for (;;) {
            const idle = this.idle.takeAny();
            if (idle !== undefined) return idle;
            const dialed = yield* this.dial(undefined);
            if (dialed.ok) return dialed.val;
            if (dialed.val !== ErrorKind.TooManyConnections || this.counts.ofTenants === 0) return undefined;
            const choose = (): ConnectionChoiceKind => this.idle.all.length > 0 ? ConnectionChoiceKind.Reuse : ConnectionChoiceKind.Wait;
            yield* withTimeout(this.clock, recheckIntervalMs, this.queue.wait({ rank: controlRank, since: this.clock.now(), owner: choose, choose }));
        }
    }

    /** Makes a connection available to others. It must no longer hold a slot. */
    public giveBack(connection: UpstreamConnection): void {
        if (!connection.link.isOpen || this.isClosed || !this.open.has(connection)) {
            this.discard(connection);
            return;
        }
        this.transactions.end(connection);
        connection.idleSince = this.clock.now();
        this.idle.add(connection);
        this.closeExcessWithoutTenant();
        this.closeSurplus();
        if (this.queue.wakeFirst(connection.passedOverCount < maxPassedOver)) connection.passedOverCount++;
    }

    /** Closes a connection and removes it. */
    public discard(connection: UpstreamConnection): void {
        this.idle.remove(connection);
        this.transactions.end(connection);
        if (this.open.delete(connection)) this.counts.remove(connection.tenant);
        connection.link.close();
        this.queue.wakeFirst(true);
    }

    /** Closes every connection. Statements in flight end without a response. */
    public close(): void {
        this.isClosed = true;
        for (const connection of [...this.open]) this.discard(connection);
    }

    /** Closes connections idle for `maxIdleMs`, except the `keepCount` oldest without a tenant and, if `keepsTenants`, those of tenants. */
    public closeIdle(maxIdleMs: number, keepCount: number, keepsTenants: boolean): void {
        const idleCutoff = this.clock.now() - maxIdleMs;
        const candidates = this.idle.all.filter(connection => connection.idleSince <= idleCutoff);
        for (const connection of candidates.filter(({ tenant }) => tenant === undefined).slice(keepCount)) this.discard(connection);
        for (const connection of candidates.filter(({ tenant }) => tenant !== undefined && !keepsTenants)) this.discard(connection);
        this.closeSurplus();
        this.demand.removeUnused(this.clock.now());
    }

    private choose(tenant: string | undefined, opensTransaction = false): ConnectionChoice {
        return this.chooser.choose(tenant, opensTransaction, !this.opener.isBlocked, this.clock.now());
    }

    /** Takes the idle connection that `choose` found. */
    private take({ tenant, session, opensTransaction }: SlotRequest): UpstreamConnection {
        const connection = this.idle.take(tenant, session)!;
        if (opensTransaction === true) this.transactions.begin(tenant, connection);
        this.recordDemand(tenant);
        return connection;
    }

    private recordDemand(tenant: string | undefined): void {
        this.demand.record(tenant, this.chooser.countHeld(tenant), this.clock.now());
    }

    private *wait(request: SlotRequest, since: number, maxWaitMs: number): Operation<void> {
        const choose = (): ConnectionChoiceKind =>
            this.isClosed || this.isUnavailable ? ConnectionChoiceKind.Open : this.choose(request.tenant, request.opensTransaction).kind;
        const waitMs = Math.max(1, Math.min(maxWaitMs, recheckIntervalMs));
        const owner = `${request.tenant ?? ""} ${request.opensTransaction === true}`;
        const wait = this.queue.wait({ rank: request.workClass.rank, since, owner, choose });
        yield* withTimeout(this.clock, waitMs, runUnlessAbandoned(request.abandonment, () => false, wait));
    }

    /** Ends the wait of a request whose caller has left. It may have been woken for a connection that the next waiter can use. */
    private passOn(): Result<never, ErrorKind> {
        this.queue.wakeFirst(true);
        return Err(ErrorKind.Busy);
    }

    /** Opens a connection. One that makes room for it is closed after the new one counts, so that no other work takes the place. */
    private *dial(tenant: string | undefined, evicted?: UpstreamConnection, opensTransaction = false): Operation<Result<UpstreamConnection, ErrorKind>> {
        this.counts.add(tenant);
        if (opensTransaction) this.transactions.begin(tenant);
        let connection: UpstreamConnection | undefined;
        try {
            if (evicted !== undefined) this.evict(evicted, tenant);
            const link = yield* this.opener.open(tenant);
            if (link.err) return link;
            if (this.isClosed) {
                link.val.close();
                return Err(ErrorKind.Other);
            }
            connection = UpstreamConnection.create(link.val, tenant);
            this.addOpened(connection);
            return Ok(connection);
        }
        finally {
            if (connection === undefined) this.counts.remove(tenant);
            if (opensTransaction) this.transactions.assign(tenant, connection);
        }
    }

    private addOpened(connection: UpstreamConnection): void {
        const { tenant } = connection;
        this.reporter.recordOpened();
        this.open.add(connection);
        connection.link.onClosed(() => this.discard(connection));
        if (tenant !== undefined) this.observer.onOpened(this.reporter.upstream, tenant);
    }

    private evict(evicted: UpstreamConnection, tenant: string | undefined): void {
        this.discard(evicted);
        this.observer.onEvicted(this.reporter.upstream, evicted.tenant, tenant);
    }

    /** Leaves connections without a tenant to other VMs. Those of tenants are kept, because opening one costs the upstream slot time. */
    private closeExcessWithoutTenant(): void {
        if (this.queue.size > 0) return;
        const openCount = [...this.open].filter(connection => connection.tenant === undefined).length;
        const excess = this.chooser.findExcessWithoutTenant(openCount);
        if (excess !== undefined) this.discard(excess);
    }

    private closeSurplus(): void {
        for (;;) {
            const surplus = this.chooser.findSurplus(this.clock.now());
            if (surplus === undefined) return;
            this.discard(surplus);
            if (surplus.tenant !== undefined) this.observer.onSurplusClosed(this.reporter.upstream, surplus.tenant);
        }
    }
}
