import { createFailure } from "@vanillarouter/base/createFailure";
import { Diagnostics as BaseDiagnostics } from "@vanillarouter/base/diagnostics";
import { Failure } from "@vanillarouter/base/failure";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Task } from "@vanillarouter/base/task";
import { createHash, timingSafeEqual } from "node:crypto";
import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { AddressInfo } from "node:net";
import { Err, Ok, Result } from "ts-results";
import { AdministrationRoutes } from "./administrationRoutes";
import { ApiRequest } from "./apiRequest";
import { ApiResponse } from "./apiResponse";
import { ConfigurationWriter } from "./configurationWriter";
import { createErrorResponse } from "./createErrorResponse";
import { Diagnostics } from "./diagnostics";
import { VmView } from "./vmView";

interface AdministrationServerOptions {
    /** Credential that operators send in the header `Authorization: Bearer`. */
    readonly credential: string;
    readonly view: VmView;
    readonly writer: ConfigurationWriter;
    /** Called with errors of the HTTP server and unexpected errors of request handlers. */
    readonly onError: (err: unknown) => void;
}

const maxBodyBytes = 2_097_152;
const maxConnections = 256;
const requestTimeoutMs = 30_000;
const healthPath = "/health";
const defaultAuthor = "unknown";
const maxAuthorLength = 64;

/** Serves the administration API, the metrics and the health endpoint for the load balancer over HTTP. */
export class AdministrationServer {
    private readonly server: Server;
    private readonly routes: AdministrationRoutes;
    private readonly expectedAuthorizationHash: Buffer;

    private constructor(private readonly options: AdministrationServerOptions) {
        this.expectedAuthorizationHash = computeSha256(`Bearer ${options.credential}`);
        this.routes = AdministrationRoutes.create(options.view, options.writer);
        this.server = createServer((req, res) => void this.handleRequest(req, res));
        this.server.maxConnections = maxConnections;
        this.server.requestTimeout = requestTimeoutMs;
    }

    public static create(options: AdministrationServerOptions): AdministrationServer {
        return new AdministrationServer(options);
    }

    /** Starts listening and returns the bound port. Rejects with the system error if the address cannot be bound. */
    public listen(host: string, port: number): Promise<number> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, () => {
                this.server.off("error", reject);
                this.server.on("error", this.options.onError);
                resolve((this.server.address() as AddressInfo).port);
            });
        });
    }

    /** Stops listening and closes all connections. */
    public close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private async handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
        try {
            this.sendResponse(res, req.url === healthPath ? this.readHealth() : await this.createResponse(req));
        }
        catch (err) {
            this.options.onError(err);
            this.sendResponse(res, createErrorResponse(createFailure(BaseDiagnostics.internalError, RunOutcome.Unknown, String(err))));
        }
    }

    private readHealth(): ApiResponse {
        const { isServing } = this.options.view;
        return { status: isServing ? 200 : 503, body: { serving: isServing } };
    }

    private async createResponse(req: IncomingMessage): Promise<ApiResponse> {
        if (!this.isAuthorized(req)) return createErrorResponse(createFailure(Diagnostics.notAuthorized, RunOutcome.DidNotRun));
        const request = await readRequest(req);
        if (request.err) return createErrorResponse(request.val);
        const response = await Task.start(this.routes.dispatch(request.val)).toPromise();
        return response.ok ? response.val : createErrorResponse(response.val);
    }

    private isAuthorized(req: IncomingMessage): boolean {
        return timingSafeEqual(computeSha256(req.headers.authorization ?? ""), this.expectedAuthorizationHash);
    }

    private sendResponse(res: ServerResponse, response: ApiResponse): void {
        const text = response.contentType === undefined ? JSON.stringify(response.body) : String(response.body);
        res.writeHead(response.status, { "content-type": response.contentType ?? "application/json", "content-length": Buffer.byteLength(text) });
        res.end(text);
    }
}

function computeSha256(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}

async function readRequest(req: IncomingMessage): Promise<Result<ApiRequest, Failure>> {
    const url = parseUrl(req.url ?? "/");
    if (url === undefined) return Err(createFailure(Diagnostics.routeNotFound, RunOutcome.DidNotRun, (req.url ?? "").slice(0, 100)));
    const body = await readBody(req);
    if (body.err) return body;
    const author = req.headers["vr-author"];
    return Ok({
        method: req.method ?? "GET",
        path: url.path,
        query: url.query,
        author: typeof author === "string" && author !== "" ? author.slice(0, maxAuthorLength) : defaultAuthor,
        body: body.val,
    });
}

function parseUrl(requestTarget: string): { readonly path: readonly string[]; readonly query: URLSearchParams; } | undefined {
    try {
        const url = new URL(requestTarget, "http://localhost");
        return { path: url.pathname.split("/").slice(1).map(decodeURIComponent), query: url.searchParams };
    }
    catch {
        return undefined;
    }
}

async function readBody(req: IncomingMessage): Promise<Result<unknown, Failure>> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of req.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size > maxBodyBytes) break;
        chunks.push(chunk);
    }
    if (size > maxBodyBytes) {
        req.resume();
        return Err(createFailure(Diagnostics.bodyTooLarge, RunOutcome.DidNotRun, maxBodyBytes));
    }
    if (size === 0) return Ok(undefined);
    try {
        return Ok(JSON.parse(Buffer.concat(chunks).toString("utf8")));
    }
    catch (err) {
        return Err(createFailure(Diagnostics.requestInvalid, RunOutcome.DidNotRun, 1, `(top): ${String(err)}`));
    }
}
