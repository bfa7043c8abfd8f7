import { createServer } from "mysql2";
import { Server } from "node:net";
import { GroupConnection } from "./groupConnection";
import { GroupUpstream } from "./groupUpstream";

/** Accepts client connections of an upstream over the MySQL protocol. */
export class GroupListener {
    private readonly connections = new Set<GroupConnection>();
    private readonly server = createServer(() => {});
    private lastId = 0;

    private constructor(private readonly upstream: GroupUpstream) {
        this.server.on("connection", (connection: { readonly stream: { on(event: "close", listener: () => void): void; setNoDelay(on: boolean): void; }; }) => {
            connection.stream.setNoDelay(true);
            const isLimitReached = this.connections.size >= upstream.options.maxConnections;
            const accepted = GroupConnection.create(upstream, connection, ++this.lastId);
            this.connections.add(accepted);
            connection.stream.on("close", () => this.connections.delete(accepted));
            accepted.sendGreeting(isLimitReached);
        });
    }

    public static create(upstream: GroupUpstream): GroupListener {
        return new GroupListener(upstream);
    }

    public get connectionCount(): number {
        return this.connections.size;
    }

    public async listen(port: number): Promise<number> {
        const server = (this.server as unknown as { readonly _server: Server; })._server;
        await new Promise<void>(resolve => server.listen(port, "127.0.0.1", resolve));
        return (server.address() as { port: number; }).port;
    }

    /** Stops all processing on the connections that are open now. Connections opened later are not affected. */
    public silenceOpenConnections(): void {
        for (const connection of this.connections) connection.silence();
    }

    /** Runs the actions that were deferred on the open connections while clients were isolated. */
    public runDeferredActions(): void {
        for (const connection of this.connections) connection.runDeferredActions();
    }

    public close(): void {
        for (const connection of this.connections) connection.close();
        this.server.close(() => {});
    }
}
