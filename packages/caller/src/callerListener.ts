import { ConnectionBudget } from "@vanillarouter/base/connectionBudget";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Operation } from "@vanillarouter/base/operation";
import { race } from "@vanillarouter/base/race";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Signal } from "@vanillarouter/base/signal";
import { sleep } from "@vanillarouter/base/sleep";
import { Task } from "@vanillarouter/base/task";
import { createServer } from "mysql2";
import { randomBytes } from "node:crypto";
import { AddressInfo, Server } from "node:net";
import { CallerConnection } from "./callerConnection";
import { CallerServices } from "./callerServices";
import { Diagnostics } from "./diagnostics";
import { ServerConnection } from "./serverConnection";

const requestIdPrefixBytes = 9;
const maxConnectionId = 0xffffffff;

/** Maximum number of log lines about closed connections between two sweeps of the budget. */
const maxLogLinesPerSweep = 20;

function doNothing(): void {}

/** Accepts caller connections over the MySQL protocol and serves each in its own task. */
export class CallerListener {
    private readonly connections = new Set<CallerConnection>();
    private readonly allConnectionsClosed = Signal.create<void>();
    private readonly requestIdPrefix = randomBytes(requestIdPrefixBytes).toString("base64url");
    private requestCount = 0;
    private lastConnectionId = 0;
    private isDraining = false;
    private loggedClosings = 0;
    private readonly budget: ConnectionBudget;
    private budgetTask: Task<never> | undefined;
    private readonly server: Server;

    private constructor(private readonly services: CallerServices) {
        this.budget = this.createBudget();
        const createRequestId = (): string => `${this.requestIdPrefix}.${(++this.requestCount).toString(36)}`;
        const accept = (connection: unknown): void => this.accept(connection as ServerConnection, createRequestId);
        // The type declarations of `mysql2` omit `_server`, its TCP server.
        this.server = (createServer(accept) as unknown as { readonly _server: Server; })._server;
    }

    /** Creates a listener. It accepts connections once `listen` is called. */
    public static create(services: CallerServices): CallerListener {
        return new CallerListener(services);
    }

    /** Number of connections, including those that have not logged in. */
    public get size(): number {
        return this.connections.size;
    }

    /** Bytes held for all callers. */
    public get heldBytes(): number {
        return this.budget.heldBytes;
    }

    /** Starts listening and returns the bound port. Rejects with the system error if the address cannot be bound. */
    public listen(host: string, port: number): Promise<number> {
        this.budgetTask = Task.start(this.budget.run(this.services.clock, () => this.loggedClosings = 0));
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, () => {
                this.server.off("error", reject);
                this.server.on("error", err => this.services.logger.error({ err: String(err) }, "caller.listener_error"));
                resolve((this.server.address() as AddressInfo).port);
            });
        });
    }

    /**
     * Stops accepting connections, closes each connection once no statement or transaction is in progress on it, and
     * forcibly closes the rest after `timeoutMs` milliseconds. Returns the number of connections closed forcibly.
     */
    public *drain(timeoutMs: number): Operation<number> {
        this.isDraining = true;
        this.server.close(doNothing);
        for (const connection of [...this.connections]) connection.drain();
        yield* race([this.waitUntilEmpty(), sleep(this.services.clock, timeoutMs)]);
        const remaining = this.connections.size;
        this.close();
        return remaining;
    }

    /** Stops accepting connections and closes all open ones immediately. */
    public close(): void {
        this.isDraining = true;
        this.budgetTask?.cancel();
        this.server.close(doNothing);
        for (const connection of [...this.connections]) connection.destroy();
    }

    /** The number of connections and the time of the login are limited by `accept` and the connection, which send an error. */
    private createBudget(): ConnectionBudget {
        const { maxHeldBytes = Infinity, maxServedBytes = Infinity, messageTimeoutMs = Infinity, responseTimeoutMs = Infinity } = this.services.limits;
        const limits = { maxConnections: Infinity, maxHeldBytes, maxServedBytes, loginTimeoutMs: Infinity, messageTimeoutMs, responseTimeoutMs };
        return ConnectionBudget.create(limits, (connection, reason, heldBytes) => {
            this.services.counters.add("vr_callers_closed_total", `reason="${reason}"`);
            if (this.loggedClosings++ < maxLogLinesPerSweep) {
                this.services.logger.info({ caller: connection.remoteAddress, reason, heldBytes }, "caller.closed");
            }
        });
    }

    private accept(connection: ServerConnection, createRequestId: () => string): void {
        this.lastConnectionId = (this.lastConnectionId % maxConnectionId) + 1;
        const handleClosed = (closedConnection: CallerConnection): void => {
            this.connections.delete(closedConnection);
            if (this.connections.size === 0) this.allConnectionsClosed.notifyAll();
        };
        const accepted = CallerConnection.create(connection, this.services, this.lastConnectionId, createRequestId, handleClosed, this.budget);
        this.connections.add(accepted);
        const { maxConnections } = this.services.limits;
        if (this.isDraining) accepted.drain();
        else if (this.connections.size > maxConnections) {
            accepted.closeWithFailure(createFailure(Diagnostics.tooManyConnections, RunOutcome.DidNotRun, maxConnections));
        }
    }

    private *waitUntilEmpty(): Operation<void> {
        while (this.connections.size > 0) yield* this.allConnectionsClosed.wait();
    }
}
