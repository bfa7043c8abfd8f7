import { createFailure } from "@vanillarouter/base/createFailure";
import { Operation } from "@vanillarouter/base/operation";
import { race } from "@vanillarouter/base/race";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Signal } from "@vanillarouter/base/signal";
import { sleep } from "@vanillarouter/base/sleep";
import { createServer } from "mysql2";
import { randomBytes } from "node:crypto";
import { AddressInfo, Server } from "node:net";
import { CallerConnection } from "./callerConnection";
import { CallerServices } from "./callerServices";
import { Diagnostics } from "./diagnostics";
import { ServerConnection } from "./serverConnection";

const requestPrefixBytes = 9;
const largestConnectionId = 0xffffffff;

function ignore(): void {}

/** Accepts callers over the MySQL protocol and serves each in a task of its own. */
export class CallerListener {
    private readonly connections = new Set<CallerConnection>();
    private readonly connectionClosed = Signal.create<void>();
    private readonly requestPrefix = randomBytes(requestPrefixBytes).toString("base64url");
    private requestCount = 0;
    private connectionCount = 0;
    private isDraining = false;
    private readonly server: Server;

    private constructor(private readonly services: CallerServices) {
        const createRequestId = (): string => `${this.requestPrefix}.${(++this.requestCount).toString(36)}`;
        const accept = (connection: unknown): void => this.accept(connection as ServerConnection, createRequestId);
        this.server = (createServer(accept) as unknown as { readonly _server: Server; })._server;
    }

    /** Makes a listener that does not listen yet. */
    public static create(services: CallerServices): CallerListener {
        return new CallerListener(services);
    }

    /** Number of connections, including those that have not logged in. */
    public get size(): number {
        return this.connections.size;
    }

    /** Starts to listen and returns the bound port. Rejects with the system error if the address cannot be bound. */
    public listen(host: string, port: number): Promise<number> {
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
     * Stops to accept, closes each connection once no statement and no transaction is in progress on it, and ends the
     * others after `timeoutMs` milliseconds. Returns the number of connections ended by force.
     */
    public *drain(timeoutMs: number): Operation<number> {
        this.isDraining = true;
        this.server.close(ignore);
        for (const connection of [...this.connections]) connection.drain();
        yield* race([this.waitUntilEmpty(), sleep(this.services.clock, timeoutMs)]);
        const remaining = this.connections.size;
        this.close();
        return remaining;
    }

    /** Stops to accept and ends all connections at once. */
    public close(): void {
        this.isDraining = true;
        this.server.close(ignore);
        for (const connection of [...this.connections]) connection.destroy();
    }

    private accept(connection: ServerConnection, createRequestId: () => string): void {
        this.connectionCount = (this.connectionCount % largestConnectionId) + 1;
        const closed = (ended: CallerConnection): void => {
            this.connections.delete(ended);
            if (this.connections.size === 0) this.connectionClosed.notifyAll();
        };
        const accepted = CallerConnection.create(connection, this.services, this.connectionCount, createRequestId, closed);
        this.connections.add(accepted);
        const { maxConnections } = this.services.limits;
        if (this.isDraining) accepted.drain();
        else if (this.connections.size > maxConnections) {
            accepted.refuse(createFailure(Diagnostics.tooManyConnections, RunOutcome.DidNotRun, maxConnections));
        }
    }

    private *waitUntilEmpty(): Operation<void> {
        while (this.connections.size > 0) yield* this.connectionClosed.wait();
    }
}
