import { Clock } from "@vanillarouter/base/clock";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { perform } from "@vanillarouter/base/perform";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Signal } from "@vanillarouter/base/signal";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { UpstreamSettings } from "@vanillarouter/base/upstreamSettings";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { Diagnostics as RoutingDiagnostics } from "@vanillarouter/routing/diagnostics";
import { Connection, createConnection, QueryError as Mysql2Error } from "mysql2";
import { Socket } from "node:net";
import { constants } from "node:os";
import { Err, Ok, Result } from "ts-results";
import { convertResult } from "./convertResult";
import { Diagnostics } from "./diagnostics";
import { QueryError } from "./queryError";
import { UpstreamCredentials } from "./upstreamCredentials";

const connectionRefusedErrno = -constants.errno.ECONNREFUSED;
const tooManyConnectionsErrno = 1040;
const accessDeniedErrno = 1045;
/** Errors after which the server closes the connection and the outcome of the statement is unknown: shutdown, network errors. */
const fatalErrnos: ReadonlySet<number> = new Set([1053, 1152, 1158, 1159, 1160, 1161]);
const closedError: QueryError = { rejected: false, mayHaveBeenSent: false, errno: 0, message: "connection is closed" };

type ServerAddress = Pick<UpstreamSettings, "id" | "host" | "port">;

/** Wraps a `mysql2` connection in operations. Cancelling a statement in progress closes the connection. */
export class MysqlClient {
    private open = true;
    private readonly pendingCallbacks = new Set<(err: QueryError) => void>();
    /** Notified when the connection is lost without a call to `close`. */
    public readonly disconnected = Signal.create<void>();

    private constructor(private readonly connection: Connection) {
        connection.on("error", (err: Mysql2Error) => this.handleConnectionLoss(err.message, err.errno));
        connection.on("end", () => this.handleConnectionLoss("the upstream closed the connection"));
    }

    /** Connects and logs in. Fails with result codes 1300 to 1303 or with routing's `connectionRefused` diagnostic; no statement has run in any of these cases. */
    public static *connect(
        upstream: ServerAddress,
        credentials: UpstreamCredentials,
        clock: Clock,
        timeoutMs: number,
    ): Operation<Result<MysqlClient, Failure>> {
        const address = `${upstream.host}:${upstream.port}`;
        const result = yield* withTimeout(clock, timeoutMs, MysqlClient.openConnection(upstream, credentials));
        return result ?? Err(createFailure(Diagnostics.connectTimedOut, RunOutcome.DidNotRun, upstream.id, address, timeoutMs));
    }

    private static openConnection(upstream: ServerAddress, credentials: UpstreamCredentials): Operation<Result<MysqlClient, Failure>> {
        return perform<Result<MysqlClient, Failure>>({
            start: resume => {
                const connection = createConnection({
                    host: upstream.host,
                    port: upstream.port,
                    user: credentials.user,
                    password: credentials.password,
                    database: credentials.database,
                    connectTimeout: 0,
                    typeCast: false,
                    rowsAsArray: true,
                    disableEval: false,
                });
                const client = new MysqlClient(connection);
                const abort = (err: QueryError): void => resume(Err(MysqlClient.createConnectFailure(upstream, credentials, err)));
                client.pendingCallbacks.add(abort);
                connection.connect(err => {
                    if (err !== null && err !== undefined) client.fail(err.message, err.errno);
                    else if (client.pendingCallbacks.delete(abort)) resume(Ok(client));
                });
                return () => {
                    client.pendingCallbacks.delete(abort);
                    client.close();
                };
            },
        });
    }

    private static createConnectFailure(upstream: ServerAddress, credentials: UpstreamCredentials, err: QueryError): Failure {
        if (err.errno === connectionRefusedErrno) return createFailure(RoutingDiagnostics.connectionRefused, RunOutcome.DidNotRun, upstream.id);
        if (err.errno === tooManyConnectionsErrno) return createFailure(Diagnostics.tooManyConnections, RunOutcome.DidNotRun, upstream.id);
        if (err.errno === accessDeniedErrno) return createFailure(Diagnostics.accessDenied, RunOutcome.DidNotRun, upstream.id, credentials.user);
        return createFailure(Diagnostics.connectFailed, RunOutcome.DidNotRun, upstream.id, `${upstream.host}:${upstream.port}`, err.message);
    }

    public get isOpen(): boolean {
        return this.open;
    }

    /** Executes a statement in the text protocol. The server responds to the statements of a connection in the order they were sent. */
    public query(sql: string): Operation<Result<StatementResult, QueryError>> {
        return this.sendCommand(deliver => {
            this.connection.query(sql, (err: Mysql2Error | null, rows: unknown, fields: unknown) => {
                if (err === null) deliver(Ok(convertResult(rows, fields)));
                else deliver(Err(this.convertError(err)));
            });
        });
    }

    /** Sends `COM_PING`. */
    public ping(): Operation<Result<StatementResult, QueryError>> {
        return this.sendCommand(deliver => {
            this.connection.ping(err => deliver(!err ? Ok(convertResult({}, undefined)) : Err(this.convertError(err))));
        });
    }

    /** Closes the socket without sending `COM_QUIT`, so that nothing waits for an upstream that does not respond. */
    public close(): void {
        this.fail("connection was closed");
    }

    private sendCommand(send: (deliver: (result: Result<StatementResult, QueryError>) => void) => void): Operation<Result<StatementResult, QueryError>> {
        return perform<Result<StatementResult, QueryError>>({
            start: resume => {
                if (!this.open) {
                    resume(Err(closedError));
                    return () => {};
                }
                const abort = (err: QueryError): void => resume(Err(err));
                this.pendingCallbacks.add(abort);
                send(result => {
                    if (!this.pendingCallbacks.delete(abort)) return;
                    resume(result);
                });
                return () => {
                    this.pendingCallbacks.delete(abort);
                    this.close();
                };
            },
        });
    }

    private convertError(err: Mysql2Error): QueryError {
        const errno = err.errno ?? 0;
        const isLost = errno <= 0 || err.fatal || fatalErrnos.has(errno);
        if (isLost) this.fail(err.message);
        return { rejected: !isLost, mayHaveBeenSent: true, errno, message: err.message };
    }

    private handleConnectionLoss(message: string, errno = 0): void {
        const wasOpen = this.open;
        this.fail(message, errno);
        if (wasOpen) this.disconnected.notifyAll();
    }

    private fail(message: string, errno = 0): void {
        if (!this.open) return;
        this.open = false;
        const socket = (this.connection as unknown as { readonly stream: Socket; }).stream;
        socket.destroy();
        this.connection.destroy();
        const callbacks = [...this.pendingCallbacks];
        this.pendingCallbacks.clear();
        for (const abort of callbacks) abort({ rejected: false, mayHaveBeenSent: true, errno, message });
    }
}
