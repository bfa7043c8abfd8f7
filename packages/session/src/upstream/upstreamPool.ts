import { Clock } from "@vanillarouter/base/clock";
import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { perform } from "@vanillarouter/base/perform";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { Err, Ok, Result } from "ts-results";
import { CommandKind } from "../model/commandKind";
import { ErrorKind } from "../model/errorKind";
import { TransactionState } from "../model/transactionState";
import { UpstreamDialer } from "../model/upstreamDialer";
import { UpstreamEntry } from "../model/upstreamEntry";
import { UpstreamStatus } from "../model/upstreamStatus";
import { PoolLimits } from "./poolLimits";
import { ResponseTimeAverage } from "./responseTimeAverage";
import { SlotRequest } from "./slotRequest";
import { UpstreamConnection } from "./upstreamConnection";
import { UpstreamSlots } from "./upstreamSlots";
import { WaitQueue } from "./waitQueue";

const dialTimeoutMs = 450;
/** Delay before dialing again after the upstream reported too many connections, so that other VMs can close idle ones. */
const connectionLimitPauseMs = 150;
/** Delay before dialing again after any other dial failure. */
const failedDialPauseMs = 250;
/** Up to this many idle connections are kept, however many connections are open. */
const minIdleConnections = 2;
/** An upstream that responded within this time counts as reachable despite failures since then. */
const recentResponseMs = 300;

/** This VM's connection pool for one upstream, and the schedule by which statements get its slots. */
export class UpstreamPool {
    /** Position of the last log entry that the upstream reported as applied; undefined before the first report. */
    public applied: LogPosition | undefined;
    /** Number of consecutive commands and dials without a response. */
    public consecutiveFailures = 0;
    public lastResponseAt = Number.NEGATIVE_INFINITY;
    public readonly responseTimes: ResponseTimeAverage;
    public readonly slots: UpstreamSlots;
    private readonly idle: UpstreamConnection[] = [];
    private readonly open = new Set<UpstreamConnection>();
    private readonly connectionQueue = WaitQueue.create<void>();
    private pendingDials = 0;
    private dialBlockedUntil = Number.NEGATIVE_INFINITY;
    private isClosed = false;

    private constructor(
        private currentUpstream: UpstreamEntry,
        private readonly clock: Clock,
        private readonly dialer: UpstreamDialer,
        private readonly limits: PoolLimits,
    ) {
        this.slots = UpstreamSlots.create(clock, () => this.upstream.slots, () => limits.getGatewayCount());
        this.responseTimes = ResponseTimeAverage.create(clock);
    }

    public static create(upstream: UpstreamEntry, clock: Clock, dialer: UpstreamDialer, limits: PoolLimits): UpstreamPool {
        return new UpstreamPool(upstream, clock, dialer, limits);
    }

    public get upstream(): UpstreamEntry {
        return this.currentUpstream;
    }

    /** Replaces the upstream's entry after it changed in service discovery for the same upstream process. */
    public update(upstream: UpstreamEntry): void {
        this.currentUpstream = upstream;
    }

    /** Number of connections that are open or being dialed. */
    public get connectionCount(): number {
        return this.open.size + this.pendingDials;
    }

    /** Whether the upstream responded recently, or has not failed to respond since its last response. */
    public get isReachable(): boolean {
        return this.consecutiveFailures === 0 || this.clock.now() - this.lastResponseAt < recentResponseMs;
    }

    /** Whether no connection is open and none may be dialed yet, because a dial has just failed. */
    public get isUnavailable(): boolean {
        return this.clock.now() < this.dialBlockedUntil && this.open.size === 0;
    }

    /**
     * Runs `operation` in a slot, on a connection with the session's values. The operation must return the connection to the
     * pool, keep it for a transaction or discard it.
     *
     * Fails with `Busy` at once if the statement would get its slot too late, with `Busy` at `waitDeadline`, with the error of a
     * failed dial, or with `Other` if no connection is open and none may be dialed yet. In all these cases nothing has run.
     */
    public *run<T>(request: SlotRequest, operation: (connection: UpstreamConnection) => Operation<T>): Operation<Result<T, ErrorKind>> {
        const ran = yield* this.slots.run(request, false, () => this.runOnConnection(request, operation));
        return ran.ok ? ran.val : ran;
    }

    /** Runs the next statement of a transaction, which has its connection, in a slot. Fails with `Busy` if it gets no slot in time. */
    public *continueTransaction<T>(request: SlotRequest, operation: () => Operation<T>): Operation<Result<T, ErrorKind>> {
        return yield* this.slots.run(request, true, operation);
    }

    private *runOnConnection<T>(request: SlotRequest, operation: (connection: UpstreamConnection) => Operation<T>): Operation<Result<T, ErrorKind>> {
        while (!this.isClosed) {
            const connection = yield* this.obtainConnection(request);
            if (connection.err) return connection;
            if (yield* connection.val.takeOver(request.session)) return Ok(yield* operation(connection.val));
            this.discard(connection.val);
        }
        return Err(ErrorKind.Other);
    }

    /** Returns a connection to the pool. The connection must no longer hold a slot. */
    public returnConnection(connection: UpstreamConnection): void {
        if (!connection.link.isOpen || this.isClosed || !this.open.has(connection)) {
            this.discard(connection);
            return;
        }
        connection.idleSince = this.clock.now();
        this.idle.push(connection);
        if (this.idle.length > minIdleConnections && this.connectionQueue.size === 0 && this.open.size > this.limits.getConnectionLimit() / 2) {
            this.discard(this.idle.shift()!);
        }
        this.wakeNextWaiter();
    }

    /** Closes a connection and removes it from the pool. */
    public discard(connection: UpstreamConnection): void {
        const index = this.idle.indexOf(connection);
        if (index >= 0) this.idle.splice(index, 1);
        this.open.delete(connection);
        connection.link.close();
        this.wakeNextWaiter();
    }

    /** Sends a `Status`, `Fence` or `Demote` command. Returns undefined if the upstream does not respond in time. */
    public *runControl(kind: CommandKind, timeoutMs: number, term?: number): Operation<UpstreamStatus | undefined> {
        const status = yield* withTimeout(this.clock, timeoutMs, this.runControlCommand(kind, timeoutMs, term));
        if (status === undefined) this.recordFailure();
        else this.slots.recordBusySlots(status.busySlots);
        return status;
    }

    /** Records that the upstream responded, and the log position that it reported. */
    public recordResponse(applied: LogPosition | undefined): void {
        this.consecutiveFailures = 0;
        this.lastResponseAt = this.clock.now();
        if (applied !== undefined && (this.applied === undefined || compareLogPositions(applied, this.applied) !== 0)) this.applied = applied;
    }

    public recordFailure(): void {
        this.consecutiveFailures++;
    }

    /** Closes every connection. Statements in flight end without a response. */
    public close(): void {
        this.isClosed = true;
        for (const connection of [...this.open]) this.discard(connection);
    }

    /** Closes connections that have been idle for `maxIdleMs`, except the `keepCount` oldest of them. */
    public closeIdle(maxIdleMs: number, keepCount: number): void {
        const idleCutoff = this.clock.now() - maxIdleMs;
        for (const connection of this.idle.filter(candidate => candidate.idleSince <= idleCutoff).slice(keepCount)) this.discard(connection);
    }

    private *runControlCommand(kind: CommandKind, timeoutMs: number, term: number | undefined): Operation<UpstreamStatus | undefined> {
        let connection = this.idle.pop();
        if (connection === undefined) {
            const dialed = yield* this.dial();
            if (dialed.err) return undefined;
            connection = dialed.val;
        }
        let isReusable = false;
        try {
            const response = yield* connection.run({ kind, term }, timeoutMs);
            if (response === undefined) return undefined;
            isReusable = response.state === TransactionState.Idle;
            this.recordResponse(response.applied);
            return connection.link.readStatus(response);
        }
        finally {
            if (isReusable) this.returnConnection(connection);
            else this.discard(connection);
        }
    }

    private *waitForConnection(rank: number): Operation<boolean> {
        yield* perform<void>({ start: resume => this.connectionQueue.add(rank, resume) });
        return true;
    }

    private *obtainConnection(request: SlotRequest): Operation<Result<UpstreamConnection, ErrorKind>> {
        for (;;) {
            const idle = this.takeIdleConnection(request);
            if (idle !== undefined) return Ok(idle);
            const now = this.clock.now();
            if (this.isClosed || now >= request.waitDeadline) return Err(ErrorKind.Busy);
            if (this.connectionCount < this.limits.getConnectionLimit() && now >= this.dialBlockedUntil) {
                const dialed = yield* this.dial();
                if (dialed.ok) return dialed;
                if (dialed.val !== ErrorKind.TooManyConnections) return dialed;
                continue;
            }
            if (this.open.size === 0 && now < this.dialBlockedUntil) return Err(ErrorKind.Other);
            const waitMs = Math.min(request.waitDeadline - now, connectionLimitPauseMs);
            yield* withTimeout(this.clock, Math.max(1, waitMs), this.waitForConnection(request.workClass.rank));
        }
    }

    private takeIdleConnection(request: SlotRequest): UpstreamConnection | undefined {
        let best: UpstreamConnection | undefined;
        let bestCost = Number.POSITIVE_INFINITY;
        for (const connection of this.idle) {
            const cost = connection.countSetupCommands(request.session);
            if (cost <= bestCost) {
                best = connection;
                bestCost = cost;
            }
        }
        if (best !== undefined) this.idle.splice(this.idle.indexOf(best), 1);
        return best;
    }

    private *dial(): Operation<Result<UpstreamConnection, ErrorKind>> {
        this.pendingDials++;
        try {
            const link = yield* this.dialer.dial(this.upstream, undefined, dialTimeoutMs);
            if (link.err) {
                this.recordDialFailure(link.val);
                return link;
            }
            const connection = UpstreamConnection.create(link.val);
            if (this.isClosed) {
                link.val.close();
                return Err(ErrorKind.Other);
            }
            this.recordResponse(undefined);
            this.open.add(connection);
            link.val.onClosed(() => this.discard(connection));
            return Ok(connection);
        }
        finally {
            this.pendingDials--;
        }
    }

    private recordDialFailure(error: ErrorKind): void {
        const pauseMs = error === ErrorKind.TooManyConnections ? connectionLimitPauseMs : failedDialPauseMs;
        this.dialBlockedUntil = this.clock.now() + pauseMs;
        if (error !== ErrorKind.TooManyConnections && error !== ErrorKind.Busy) this.recordFailure();
    }

    private wakeNextWaiter(): void {
        this.connectionQueue.wakeFirst(undefined);
    }
}
