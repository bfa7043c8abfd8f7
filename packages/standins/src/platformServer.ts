import { Clock } from "@vanillarouter/base/clock";
import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { AddressInfo, Socket } from "node:net";
import { z } from "zod";
import { LaggingVmList } from "./laggingVmList";
import { ListedVm } from "./listedVm";
import { PlatformFaults } from "./platformFaults";
import { PlatformRoutes } from "./platformRoutes";
import { PlatformStore } from "./platformStore";
import { RateLimiter } from "./rateLimiter";

interface PlatformServerOptions {
    readonly clock: Clock;
    readonly host?: string;
    /** Port to listen on; 0 lets the system choose. */
    readonly port: number;
    readonly writesPerSecond?: number;
    readonly readsPerSecond?: number;
}

const maxBodyBytes = 64 * 1_048_576;
const noFaults: PlatformFaults = { outage: "off", delayMs: 0, staleReads: false, loseReplies: 0, listLagMs: 0 };

const faultsSchema = z.strictObject({
    outage: z.enum(["off", "refuse", "silent"]).optional(),
    delayMs: z.number().min(0).optional(),
    staleReads: z.boolean().optional(),
    loseReplies: z.number().int().min(0).optional(),
    listLagMs: z.number().min(0).optional(),
});

const vmsSchema = z.array(z.strictObject({
    id: z.string(),
    zone: z.string(),
    host: z.string(),
    heartbeatPort: z.number().int(),
    linkPort: z.number().int(),
    state: z.enum(["live", "leaving", "gone"]),
}));

/**
 * Serves the subset of the Consul HTTP API that the `platform` package uses, with rate limits. The control endpoints
 * `/standin/faults`, `/standin/vms` and `/standin/counters` are exempt from the faults and the limits.
 */
export class PlatformServer {
    private faults = noFaults;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private readonly store: PlatformStore;
    private readonly vmList: LaggingVmList;
    private readonly routes: PlatformRoutes;
    private readonly writeLimiter: RateLimiter;
    private readonly readLimiter: RateLimiter;
    private reads = 0;
    private writes = 0;
    private refused = 0;

    private constructor(private readonly options: PlatformServerOptions) {
        this.store = PlatformStore.create(options.clock);
        this.vmList = LaggingVmList.create(options.clock);
        this.routes = PlatformRoutes.create(this.store, () => this.vmList.read(this.faults.listLagMs));
        this.writeLimiter = RateLimiter.create(options.clock, options.writesPerSecond ?? 400);
        this.readLimiter = RateLimiter.create(options.clock, options.readsPerSecond ?? 2000);
        this.server = createServer((req, res) => void this.handleRequest(req, res).catch(() => res.destroy()));
        this.server.on("connection", socket => this.trackSocket(socket));
    }

    public static create(options: PlatformServerOptions): PlatformServer {
        return new PlatformServer(options);
    }

    /** Starts listening and returns the port. */
    public async listen(): Promise<number> {
        await new Promise<void>((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.options.port, this.options.host ?? "127.0.0.1", resolve);
        });
        return (this.server.address() as AddressInfo).port;
    }

    /** Changes the given faults and keeps the others. */
    public setFaults(faults: Partial<PlatformFaults>): void {
        this.faults = { ...this.faults, ...faults };
        this.store.setStale(this.faults.staleReads);
    }

    public setVms(vms: readonly ListedVm[]): void {
        this.vmList.set(vms);
    }

    /** Numbers of requests since the start, and the number of watches that are waiting now. */
    public get counters(): { readonly reads: number; readonly writes: number; readonly refused: number; readonly waiting: number; } {
        return { reads: this.reads, writes: this.writes, refused: this.refused, waiting: this.store.waitingCount };
    }

    public async close(): Promise<void> {
        this.store.close();
        for (const socket of this.sockets) socket.destroy();
        await new Promise<void>(resolve => this.server.close(() => resolve()));
    }

    private trackSocket(socket: Socket): void {
        this.sockets.add(socket);
        socket.on("close", () => this.sockets.delete(socket));
    }

    private async handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const body = await readBody(req);
        const url = new URL(req.url ?? "/", "http://platform");
        if (url.pathname.startsWith("/standin/")) {
            this.handleControlRequest(url.pathname, req.method ?? "GET", body, res);
            return;
        }
        const isWrite = req.method !== "GET";
        if (isWrite) this.writes++;
        else this.reads++;
        if (this.faults.outage === "silent") return;
        if (this.faults.delayMs > 0) await new Promise<void>(resolve => this.options.clock.startTimer(this.faults.delayMs, resolve));
        if (this.faults.outage === "refuse") {
            res.writeHead(500).end("No cluster leader");
            return;
        }
        if (!(isWrite ? this.writeLimiter : this.readLimiter).tryAcquire()) {
            this.refused++;
            res.writeHead(429).end("rate limit exceeded");
            return;
        }
        const loseResponse = isWrite && this.faults.loseReplies > 0;
        if (loseResponse) this.faults = { ...this.faults, loseReplies: this.faults.loseReplies - 1 };
        this.routes.handleRequest(url, req.method ?? "GET", body, res, loseResponse);
    }

    private handleControlRequest(path: string, method: string, body: Buffer, res: ServerResponse): void {
        if (method === "PUT" && path === "/standin/faults") this.applyControlRequest(faultsSchema, body, res, faults => this.setFaults(faults));
        else if (method === "PUT" && path === "/standin/vms") this.applyControlRequest(vmsSchema, body, res, vms => this.setVms(vms));
        else if (method === "GET" && path === "/standin/counters") sendJson(res, 200, this.counters);
        else if (method === "GET" && path === "/standin/faults") sendJson(res, 200, this.faults);
        else sendJson(res, 404, { error: "unknown endpoint" });
    }

    private applyControlRequest<T>(schema: z.ZodType<T>, body: Buffer, res: ServerResponse, apply: (value: T) => void): void {
        const parsed = schema.safeParse(parseJson(body));
        if (parsed.success) apply(parsed.data);
        sendJson(res, parsed.success ? 200 : 400, parsed.success ? {} : { error: parsed.error.message });
    }
}

function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch {
        return undefined;
    }
}

function sendJson(res: ServerResponse, status: number, value: unknown): void {
    res.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(value));
}

async function readBody(req: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of req) {
        size += (chunk as Buffer).length;
        if (size > maxBodyBytes) throw new Error("request body is too large");
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
}
