import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { z } from "zod";
import { GroupListener } from "./groupListener";
import { GroupUpstream } from "./groupUpstream";

const durationMs = z.number().min(0).max(600_000);
const faultsSchema = z.strictObject({
    applyLagMs: durationMs,
    statementMs: durationMs,
    isolatedFromPeers: z.boolean(),
    isolatedFromClients: z.boolean(),
    loseReplies: z.number().int().min(0),
    leaving: z.boolean(),
    silenceOpenConnections: z.boolean(),
}).partial();
const peersSchema = z.record(z.string(), z.number().int().min(1).max(65_535));

async function readBody(req: IncomingMessage): Promise<string> {
    let text = "";
    for await (const chunk of req) text += String(chunk);
    return text;
}

/**
 * Control server of an upstream, over HTTP: `PUT /faults`, `PUT /peers` (replication ports by upstream id), `GET /status`
 * and `GET /record`.
 */
export class GroupControlServer {
    private readonly server: Server;

    private constructor(private readonly upstream: GroupUpstream, private readonly listener: GroupListener) {
        this.server = createServer((req, res) => void this.handleRequest(req, res));
    }

    public static create(upstream: GroupUpstream, listener: GroupListener): GroupControlServer {
        return new GroupControlServer(upstream, listener);
    }

    public async listen(port: number): Promise<number> {
        await new Promise<void>(resolve => this.server.listen(port, "127.0.0.1", resolve));
        return (this.server.address() as { port: number; }).port;
    }

    public close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private async handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
        try {
            const body = await readBody(req);
            const value = this.routeRequest(`${req.method} ${req.url}`, body);
            res.writeHead(value === undefined ? 404 : 200, { "content-type": "application/json" }).end(JSON.stringify(value ?? {}));
        }
        catch (err) {
            res.writeHead(400, { "content-type": "application/json" }).end(JSON.stringify({ error: (err as Error).message }));
        }
    }

    private routeRequest(request: string, body: string): unknown {
        if (request === "PUT /faults") return this.setFaults(faultsSchema.parse(JSON.parse(body)));
        if (request === "PUT /peers") return this.setPeers(peersSchema.parse(JSON.parse(body)));
        if (request === "GET /status") return this.describeStatus();
        if (request === "GET /record") return this.describeRecord();
        return undefined;
    }

    private setFaults(changes: z.infer<typeof faultsSchema>): unknown {
        const { silenceOpenConnections, ...faults } = changes;
        this.upstream.setFaults(faults);
        if (silenceOpenConnections === true) this.listener.silenceOpenConnections();
        if (faults.isolatedFromClients === false) this.listener.runDeferredActions();
        return this.upstream.faults;
    }

    private setPeers(ports: Readonly<Record<string, number>>): unknown {
        this.upstream.replication.setPeerPorts(ports);
        return {};
    }

    private describeStatus(): unknown {
        const member = this.upstream.member;
        return {
            upstream: member.id,
            isPrimary: member.isPrimary,
            acceptedTerm: member.acceptedTerm,
            primary: member.primary,
            received: member.log.lastPosition,
            applied: member.appliedPosition,
            connections: this.listener.connectionCount,
            waitingForSlot: this.upstream.slots.waitingCount,
            faults: this.upstream.faults,
            counts: this.upstream.record.summary,
            cpuMs: (process.cpuUsage().user + process.cpuUsage().system) / 1000,
        };
    }

    private describeRecord(): unknown {
        const member = this.upstream.member;
        return {
            upstream: member.id,
            isPrimary: member.isPrimary,
            acceptedTerm: member.acceptedTerm,
            counts: this.upstream.record.summary,
            log: member.log.slice(0),
            discarded: member.discarded,
            executions: this.upstream.record.all,
        };
    }
}
