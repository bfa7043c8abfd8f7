import { Clock } from "@vanillarouter/base/clock";
import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { FailureHistory } from "@vanillarouter/scheduling/failureHistory";
import { Err, Ok, Result } from "ts-results";
import { hasCallerLeft } from "../entry/hasCallerLeft";
import { CommandKind } from "../model/commandKind";
import { ErrorKind } from "../model/errorKind";
import { TransactionState } from "../model/transactionState";
import { UpstreamDialer } from "../model/upstreamDialer";
import { UpstreamEntry } from "../model/upstreamEntry";
import { UpstreamResponse } from "../model/upstreamResponse";
import { UpstreamStatus } from "../model/upstreamStatus";
import { ConnectionObserver } from "./connectionObserver";
import { ConnectionReporter } from "./connectionReporter";
import { isUpstreamFault } from "./isUpstreamFault";
import { ListenerCheck } from "./listenerCheck";
import { PoolConnections } from "./poolConnections";
import { PoolLimits } from "./poolLimits";
import { ResponseTimeAverage } from "./responseTimeAverage";
import { SlotRequest } from "./slotRequest";
import { UpstreamConnection } from "./upstreamConnection";
import { UpstreamSlots } from "./upstreamSlots";

/** An upstream that responded within this time counts as reachable despite failures since then. */
const recentResponseMs = 300;

/** This VM's connection pool for one upstream, and the schedule by which statements get its slots. */
export class UpstreamPool implements ConnectionReporter {
    /** Position of the last log entry that the upstream reported as applied; undefined before the first report. */
    public applied: LogPosition | undefined;
    /** Number of consecutive commands and dials without a response. */
    public consecutiveFailures = 0;
    public lastResponseAt = Number.NEGATIVE_INFINITY;
    public readonly responseTimes: ResponseTimeAverage;
    public readonly slots: UpstreamSlots;
    public readonly listener: ListenerCheck;
    private readonly connections: PoolConnections;
    public readonly failures = FailureHistory.create();
    private isClosed = false;

    private constructor(
        private currentUpstream: UpstreamEntry,
        private readonly clock: Clock,
        dialer: UpstreamDialer,
        private readonly limits: PoolLimits,
        observer: ConnectionObserver,
    ) {
        this.listener = ListenerCheck.create(clock);
        this.connections = PoolConnections.create(clock, dialer, limits, this, observer);
        this.slots = UpstreamSlots.create(clock, () => this.upstream.slots, () => limits.getGatewayCount());
        this.responseTimes = ResponseTimeAverage.create(clock);
    }

    public static create(upstream: UpstreamEntry, clock: Clock, dialer: UpstreamDialer, limits: PoolLimits, observer: ConnectionObserver): UpstreamPool {
        return new UpstreamPool(upstream, clock, dialer, limits, observer);
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
        return this.connections.count;
    }

    /** Whether the upstream responded recently, or has not failed to respond since its last response. */
    public get isReachable(): boolean {
        return this.consecutiveFailures === 0 || this.clock.now() - this.lastResponseAt < recentResponseMs;
    }

    /** Whether no connection is open and none may be dialed yet, because a dial has just failed. */
    public get isUnavailable(): boolean {
        return this.connections.isUnavailable;
    }

    /**
     * Returns what a connection for an operation of the tenant is expected to cost in milliseconds of a slot or of waiting: 0 if the
     * tenant has an idle one here, or if the installation has no tenants.
     */
    public computeConnectionCostMs(tenant: string | undefined): number {
        return this.connections.computeCostMs(tenant);
    }

    /**
     * Runs `operation` in a slot, on a connection of the request's tenant with the session's values. The operation must return the
     * connection to the pool, keep it for a transaction or discard it.
     *
     * Fails with `Busy` at once if the statement would get its slot too late, with `Busy` at `waitDeadline`, with the error of a
     * failed dial, or with `Other` if no connection is open and none may be dialed yet. In all these cases nothing has run.
     */
    public *run<T>(request: SlotRequest, operation: (connection: UpstreamConnection) => Operation<T>): Operation<Result<T, ErrorKind>> {
        if (request.tenant !== undefined || this.limits.hasTenants()) return yield* this.runInTurn(request, operation);
        const ran = yield* this.slots.run(request, false, () => this.runOnConnection(request, operation, true));
        return ran.ok ? ran.val! : ran;
    }

    /** Runs the next statement of a transaction, which has its connection, in a slot. Fails with `Busy` if it gets no slot in time. */
    public *continueTransaction<T>(request: SlotRequest, operation: () => Operation<T>): Operation<Result<T, ErrorKind>> {
        return yield* this.slots.run(request, true, operation);
    }

    /** Runs an operation of an installation with tenants. It holds no slot while it waits for a connection, which others may have. */
    private *runInTurn<T>(request: SlotRequest, operation: (connection: UpstreamConnection) => Operation<T>): Operation<Result<T, ErrorKind>> {
        let reserved: UpstreamConnection | undefined;
        const runReserved = (): Operation<Result<T, ErrorKind> | undefined> => {
            const connection = reserved;
            reserved = undefined;
            return this.runOnConnection(request, operation, false, connection);
        };
        try {
            for (;;) {
                const turn = yield* this.connections.waitForTurn(request);
                if (turn.err) return turn;
                reserved = turn.val;
                const ran = yield* this.slots.run(request, false, runReserved);
                if (ran.err) return ran;
                if (ran.val !== undefined) return ran.val;
            }
        }
        finally {
            if (reserved !== undefined) this.returnConnection(reserved);
        }
    }

    /** Returns undefined if it would have to wait for a connection and `mayWait` is false. */
    private *runOnConnection<T>(
        request: SlotRequest,
        operation: (connection: UpstreamConnection) => Operation<T>,
        mayWait: boolean,
        reserved?: UpstreamConnection,
    ): Operation<Result<T, ErrorKind> | undefined> {
        let connection = reserved;
        while (!this.isClosed) {
            if (connection === undefined) {
                const obtained = yield* this.connections.obtain(request, mayWait);
                if (obtained === undefined || obtained.err) return obtained;
                connection = obtained.val;
            }
            const isReady = yield* connection.takeOver(request.session);
            if (isReady && !hasCallerLeft(request)) return Ok(yield* operation(connection));
            if (isReady) {
                this.returnConnection(connection);
                return Err(ErrorKind.Busy);
            }
            this.discard(connection);
            connection = undefined;
        }
        return Err(ErrorKind.Other);
    }

    /** Returns a connection to the pool. The connection must no longer hold a slot. */
    public returnConnection(connection: UpstreamConnection): void {
        this.connections.giveBack(connection);
    }

    /** Closes a connection and removes it from the pool. */
    public discard(connection: UpstreamConnection): void {
        this.connections.discard(connection);
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
        this.listener.recordResponse();
        this.failures.recordResponse(this.lastResponseAt);
        if (applied !== undefined && (this.applied === undefined || compareLogPositions(applied, this.applied) !== 0)) this.applied = applied;
    }

    public recordOpened(): void {
        this.recordResponse(undefined);
    }

    /** Records the response to a statement. */
    public recordResult(response: UpstreamResponse): void {
        this.recordResponse(response.applied);
        this.failures.recordResult(isUpstreamFault(response.error), this.lastResponseAt);
    }

    public recordFailure(): void {
        this.consecutiveFailures++;
        this.failures.recordLostResponse(this.clock.now());
    }

    /** Closes every connection. Statements in flight end without a response. */
    public close(): void {
        this.isClosed = true;
        this.connections.close();
    }

    /** Closes connections that have been idle for `maxIdleMs`, except the `keepCount` oldest of them and, if `keepsTenants`, those of tenants. */
    public closeIdle(maxIdleMs: number, keepCount: number, keepsTenants: boolean): void {
        this.connections.closeIdle(maxIdleMs, keepCount, keepsTenants);
    }

    private *runControlCommand(kind: CommandKind, timeoutMs: number, term: number | undefined): Operation<UpstreamStatus | undefined> {
        const connection = yield* this.connections.obtainForControl();
        if (connection === undefined) return undefined;
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
}
