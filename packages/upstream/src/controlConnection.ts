import { Clock } from "@vanillarouter/base/clock";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Signal } from "@vanillarouter/base/signal";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { Task } from "@vanillarouter/base/task";
import { UpstreamSettings } from "@vanillarouter/base/upstreamSettings";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { Diagnostics as RoutingDiagnostics } from "@vanillarouter/routing/diagnostics";
import { Err, Ok, Result } from "ts-results";
import { Diagnostics } from "./diagnostics";
import { MysqlClient } from "./mysqlClient";
import { QueryError } from "./queryError";
import { UpstreamCredentials } from "./upstreamCredentials";

const connectTimeoutMs = 1000;

/**
 * A connection for control calls to an upstream, opened on the first call and reopened after a failure. A call that times
 * out closes it, because an established connection may be dead while new connections still succeed.
 */
export class ControlConnection {
    /** Notified when the open connection is lost, but not when this object closes it. */
    public readonly disconnected = Signal.create<void>();
    private client: MysqlClient | undefined;
    private connecting: Task<Result<MysqlClient, Failure>> | undefined;
    private closed = false;

    private constructor(
        private readonly upstream: UpstreamSettings,
        private readonly credentials: UpstreamCredentials,
        private readonly clock: Clock,
    ) {}

    public static create(upstream: UpstreamSettings, credentials: UpstreamCredentials, clock: Clock): ControlConnection {
        return new ControlConnection(upstream, credentials, clock);
    }

    /**
     * Executes one call. `timeoutMs` includes the time to open the connection if necessary. If the upstream rejects the call, the
     * failure is `callRejected` with the MySQL error number and, if the upstream reported it, the accepted term in its details.
     */
    public *call(sql: string, timeoutMs: number): Operation<Result<StatementResult, Failure>> {
        const result = yield* withTimeout(this.clock, timeoutMs, this.connectAndCall(sql));
        return result ?? Err(createFailure(Diagnostics.callTimedOut, RunOutcome.Unknown, this.upstream.id, sql.slice(0, 40), timeoutMs));
    }

    /** Closes the connection. Later calls fail with `connectionClosed`. */
    public close(): void {
        this.closed = true;
        this.connecting?.cancel();
        this.client?.close();
    }

    private *connectAndCall(sql: string): Operation<Result<StatementResult, Failure>> {
        const client = yield* this.getOrOpenClient();
        if (client.err) return client;
        const result = yield* client.val.query(sql);
        return result.err ? Err(this.createCallFailure(result.val, sql)) : Ok(result.val);
    }

    private *getOrOpenClient(): Operation<Result<MysqlClient, Failure>> {
        if (this.closed) return Err(createFailure(Diagnostics.connectionClosed, RunOutcome.DidNotRun, this.upstream.id));
        if (this.client?.isOpen === true) return Ok(this.client);
        this.connecting ??= this.startConnecting();
        return yield* this.connecting.join();
    }

    private startConnecting(): Task<Result<MysqlClient, Failure>> {
        const task = Task.start(MysqlClient.connect(this.upstream, this.credentials, this.clock, connectTimeoutMs));
        task.onSettled(() => {
            this.connecting = undefined;
            task.deliver(result => this.storeClient(result), () => {});
        });
        return task;
    }

    private storeClient(result: Result<MysqlClient, Failure>): void {
        if (result.err) return;
        const client = result.val;
        this.client = client;
        if (this.closed) client.close();
        else Task.start(this.forwardDisconnect(client));
    }

    private *forwardDisconnect(client: MysqlClient): Operation<void> {
        yield* client.disconnected.wait();
        if (!this.closed) this.disconnected.notifyAll();
    }

    private createCallFailure(err: QueryError, sql: string): Failure {
        if (!err.mayHaveBeenSent) return createFailure(Diagnostics.connectionClosed, RunOutcome.DidNotRun, this.upstream.id);
        if (!err.rejected) return createFailure(RoutingDiagnostics.connectionLost, RunOutcome.Unknown, this.upstream.id, err.message);
        const accepted = /^vr_term accepted=(\d+)/.exec(err.message)?.[1];
        const details = { errno: err.errno, acceptedTerm: accepted === undefined ? undefined : Number(accepted) };
        return { ...createFailure(Diagnostics.callRejected, RunOutcome.DidNotRun, this.upstream.id, sql.slice(0, 40), err.message), details };
    }
}
