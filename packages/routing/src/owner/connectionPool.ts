import { Clock } from "@vanillarouter/base/clock";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { race } from "@vanillarouter/base/race";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Signal } from "@vanillarouter/base/signal";
import { sleep } from "@vanillarouter/base/sleep";
import { UpstreamSettings } from "@vanillarouter/base/upstreamSettings";
import { Err, Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { UpstreamConnection } from "../group/upstreamConnection";
import { UpstreamConnector } from "../group/upstreamConnector";
import { PooledConnection } from "./pooledConnection";

/** Connections to an upstream reserved for control traffic: status, acknowledgement and coordination from several VMs. */
const controlConnections = 8;
/** Idle connections kept open, so that after the loss of a connection the next statement does not wait for a new one to open. */
const spareConnections = 2;
/** Timeout for opening a connection, in milliseconds. */
const connectTimeoutMs = 1_000;
/** First and longest delay of the exponential backoff between failed attempts to open a connection, in milliseconds. */
const firstRetryDelayMs = 20;
const lastRetryDelayMs = 1_000;

/**
 * The pool of statement connections to one upstream. Opens connections one at a time and keeps a few spare ones open. A
 * connection whose statement was interrupted, or has an unknown outcome, is closed and never reused.
 */
export class ConnectionPool {
    private readonly idle: PooledConnection[] = [];
    private readonly busy = new Set<PooledConnection>();
    private readonly connectionAvailable = Signal.create<void>();
    private readonly demandChanged = Signal.create<void>();
    private generation = 0;
    private waitingCount = 0;
    private isClosed = false;
    private retryDelayMs = firstRetryDelayMs;

    private constructor(private readonly clock: Clock, private readonly connector: UpstreamConnector, private readonly upstream: UpstreamSettings) {}

    public static create(clock: Clock, connector: UpstreamConnector, upstream: UpstreamSettings): ConnectionPool {
        return new ConnectionPool(clock, connector, upstream);
    }

    /** Maximum number of statement connections. */
    public get limit(): number {
        return Math.max(this.upstream.slots + 1, this.upstream.maxConnections - controlConnections);
    }

    public get openCount(): number {
        return this.idle.length + this.busy.size;
    }

    /** Removes and returns the connection that has been idle longest, if it has been idle for more than `idleMs` milliseconds. */
    public takeIdleLongerThan(idleMs: number): PooledConnection | undefined {
        const lastUsedBefore = this.clock.now() - idleMs;
        const pooled = this.idle.reduce<PooledConnection | undefined>(
            (oldest, candidate) => candidate.lastUsedAt < (oldest?.lastUsedAt ?? lastUsedBefore) ? candidate : oldest,
            undefined,
        );
        if (pooled === undefined) return undefined;
        this.idle.splice(this.idle.indexOf(pooled), 1);
        this.busy.add(pooled);
        return pooled;
    }

    /** Opens connections as they are needed, one at a time, until the pool is closed. */
    public *run(): Operation<void> {
        while (!this.isClosed) {
            if (this.needsConnection()) yield* this.openConnection();
            else yield* this.demandChanged.wait();
        }
    }

    /**
     * Waits for a connection until `deadline` on the owner's clock; returns undefined if none becomes available. The
     * connection must be given back with `release` or `discard`, in a `finally` block.
     */
    public *acquire(deadline: number): Operation<PooledConnection | undefined> {
        this.waitingCount++;
        try {
            for (;;) {
                const pooled = this.takeIdle();
                if (pooled !== undefined) return pooled;
                const remainingMs = deadline - this.clock.now();
                if (remainingMs <= 0 || this.isClosed) return undefined;
                this.demandChanged.notifyAll();
                yield* race([this.connectionAvailable.wait(), sleep(this.clock, remainingMs)]);
            }
        }
        finally {
            this.waitingCount--;
        }
    }

    /** Runs an operation on a connection and returns the connection to the pool only if the outcome of the operation is known. */
    public *use<T>(deadline: number, operation: (connection: UpstreamConnection) => Operation<Result<T, Failure>>): Operation<Result<T, Failure>> {
        const pooled = yield* this.acquire(deadline);
        if (pooled === undefined) return Err(createFailure(Diagnostics.noConnection, RunOutcome.DidNotRun, this.upstream.id));
        let isReusable = false;
        try {
            const result = yield* operation(pooled.connection);
            isReusable = result.ok || result.val.outcome !== RunOutcome.Unknown;
            return result;
        }
        finally {
            if (isReusable) this.release(pooled);
            else this.discard(pooled);
        }
    }

    public release(pooled: PooledConnection): void {
        if (this.isClosed || !pooled.connection.isOpen || !this.busy.delete(pooled)) {
            this.discard(pooled);
            return;
        }
        pooled.lastUsedAt = this.clock.now();
        this.idle.push(pooled);
        this.connectionAvailable.notifyAll();
    }

    public discard(pooled: PooledConnection): void {
        this.busy.delete(pooled);
        pooled.connection.close();
        this.demandChanged.notifyAll();
    }

    /**
     * Adds a connection on which the upstream responded while an older one was silent. Closes all idle connections, because
     * the network intermediary that dropped one connection has probably dropped the others too; `run` opens replacements.
     */
    public addAfterFault(connection: UpstreamConnection): void {
        this.discardIdle();
        this.addConnection(connection);
    }

    /** Closes all idle connections; `run` opens replacements one at a time. */
    public discardIdle(): void {
        for (const pooled of this.idle.splice(0)) this.discard(pooled);
    }

    /** Removes and returns one idle connection; undefined if there is none. */
    public takeIdle(): PooledConnection | undefined {
        const pooled = this.idle.pop();
        if (pooled === undefined) return undefined;
        this.busy.add(pooled);
        this.demandChanged.notifyAll();
        if (pooled.connection.isOpen) return pooled;
        this.discard(pooled);
        return this.takeIdle();
    }

    /** Closes idle connections now, and busy ones when they are returned. */
    public close(): void {
        this.isClosed = true;
        for (const pooled of this.idle.splice(0)) pooled.connection.close();
        this.demandChanged.notifyAll();
        this.connectionAvailable.notifyAll();
    }

    private addConnection(connection: UpstreamConnection): void {
        const pooled = { connection, generation: ++this.generation, lastUsedAt: this.clock.now() };
        this.busy.add(pooled);
        if (this.openCount > this.limit) this.discard(pooled);
        else this.release(pooled);
    }

    private needsConnection(): boolean {
        if (this.openCount >= this.limit) return false;
        return this.waitingCount > this.idle.length || this.openCount < this.upstream.slots || this.idle.length < spareConnections;
    }

    private *openConnection(): Operation<void> {
        const opened = yield* this.connector.connect(this.upstream, connectTimeoutMs);
        if (opened.ok) {
            this.retryDelayMs = firstRetryDelayMs;
            this.addConnection(opened.val);
            return;
        }
        yield* sleep(this.clock, this.retryDelayMs);
        this.retryDelayMs = Math.min(this.retryDelayMs * 2, lastRetryDelayMs);
    }
}
