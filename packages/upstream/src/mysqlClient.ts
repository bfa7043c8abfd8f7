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
import { Connection, createConnection, QueryError as LibraryError } from "mysql2";
import { Socket } from "node:net";
import { constants } from "node:os";
import { Err, Ok, Result } from "ts-results";
import { convertResult } from "./convertResult";
import { Diagnostics } from "./diagnostics";
import { QueryError } from "./queryError";
import { UpstreamCredentials } from "./upstreamCredentials";

const connectionRefused = -constants.errno.ECONNREFUSED;
const tooManyConnections = 1040;
const accessDenied = 1045;
/** Errors after which the server closes the connection and the fate of the statement is open: shutdown, network errors. */
const fatalErrors: ReadonlySet<number> = new Set([1053, 1152, 1158, 1159, 1160, 1161]);
const closedError: QueryError = { rejected: false, handedOver: false, errno: 0, message: "connection is closed" };

type ServerAddress = Pick<UpstreamSettings, "id" | "host" | "port">;

/** A `mysql2` connection as operations. Cancelling a waiting statement closes the connection. */
export class MysqlClient {
    private open = true;
    private readonly waiting = new Set<(err: QueryError) => void>();
    /** Notified when the connection ends without `close`. */
    public readonly lost = Signal.create<void>();

    private constructor(private readonly connection: Connection) {
        connection.on("error", (err: LibraryError) => this.lose(err.message, err.errno));
        connection.on("end", () => this.lose("the upstream closed the connection"));
    }

    /** Connects and logs in. Fails with code 1300 to 1303; nothing has run in any of these cases. */
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
                const abort = (err: QueryError): void => resume(Err(MysqlClient.describeConnectError(upstream, credentials, err)));
                client.waiting.add(abort);
                connection.connect(err => {
                    if (err !== null && err !== undefined) client.fail(err.message, err.errno);
                    else if (client.waiting.delete(abort)) resume(Ok(client));
                });
                return () => {
                    client.waiting.delete(abort);
                    client.close();
                };
            },
        });
    }

    private static describeConnectError(upstream: ServerAddress, credentials: UpstreamCredentials, err: QueryError): Failure {
        if (err.errno === connectionRefused) return createFailure(RoutingDiagnostics.connectionRefused, RunOutcome.DidNotRun, upstream.id);
        if (err.errno === tooManyConnections) return createFailure(Diagnostics.tooManyConnections, RunOutcome.DidNotRun, upstream.id);
        if (err.errno === accessDenied) return createFailure(Diagnostics.accessDenied, RunOutcome.DidNotRun, upstream.id, credentials.user);
        return createFailure(Diagnostics.connectFailed, RunOutcome.DidNotRun, upstream.id, `${upstream.host}:${upstream.port}`, err.message);
    }

    public get isOpen(): boolean {
        return this.open;
    }

    /** Executes a statement in the text protocol. Statements of one connection are answered in their order. */
    public query(sql: string): Operation<Result<StatementResult, QueryError>> {
        return this.wait(deliver => {
            this.connection.query(sql, (err: LibraryError | null, rows: unknown, fields: unknown) => {
                if (err === null) deliver(Ok(convertResult(rows, fields)));
                else deliver(Err(this.describeError(err)));
            });
        });
    }

    /** Sends the protocol's ping. */
    public ping(): Operation<Result<StatementResult, QueryError>> {
        return this.wait(deliver => {
            this.connection.ping(err => deliver(!err ? Ok(convertResult({}, undefined)) : Err(this.describeError(err))));
        });
    }

    /** Closes without a farewell, so that nothing waits for a peer that does not answer. */
    public close(): void {
        this.fail("connection was closed");
    }

    private wait(send: (deliver: (result: Result<StatementResult, QueryError>) => void) => void): Operation<Result<StatementResult, QueryError>> {
        return perform<Result<StatementResult, QueryError>>({
            start: resume => {
                if (!this.open) {
                    resume(Err(closedError));
                    return () => {};
                }
                const abort = (err: QueryError): void => resume(Err(err));
                this.waiting.add(abort);
                send(result => {
                    if (!this.waiting.delete(abort)) return;
                    resume(result);
                });
                return () => {
                    this.waiting.delete(abort);
                    this.close();
                };
            },
        });
    }

    private describeError(err: LibraryError): QueryError {
        const errno = err.errno ?? 0;
        const isLost = errno <= 0 || err.fatal || fatalErrors.has(errno);
        if (isLost) this.fail(err.message);
        return { rejected: !isLost, handedOver: true, errno, message: err.message };
    }

    private lose(message: string, errno = 0): void {
        const wasOpen = this.open;
        this.fail(message, errno);
        if (wasOpen) this.lost.notifyAll();
    }

    private fail(message: string, errno = 0): void {
        if (!this.open) return;
        this.open = false;
        const socket = (this.connection as unknown as { readonly stream: Socket; }).stream;
        socket.destroy();
        this.connection.destroy();
        const waiting = [...this.waiting];
        this.waiting.clear();
        for (const abort of waiting) abort({ rejected: false, handedOver: true, errno, message });
    }
}
