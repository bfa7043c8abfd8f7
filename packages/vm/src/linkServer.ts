import { applyWSSHandler } from "@trpc/server/adapters/ws";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { fromPromise } from "@vanillarouter/base/fromPromise";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { createServer, Server } from "node:https";
import { AddressInfo } from "node:net";
import { Err, Ok, Result } from "ts-results";
import { WebSocketServer } from "ws";
import { createLinkRouter } from "./createLinkRouter";
import { Diagnostics } from "./diagnostics";
import { LinkContext } from "./linkContext";
import { OpenTransactions } from "./openTransactions";
import { PeerServices } from "./peerServices";
import { TlsSettings } from "./tlsSettings";

interface LinkServerOptions {
    readonly host: string;
    /** Port to listen on; 0 picks a free one. */
    readonly port: number;
    readonly tls: TlsSettings;
    readonly services: PeerServices;
}

const maxMessageBytes = 32 * 1_048_576;
const quietBeforePingMs = 30_000;
const pongWaitMs = 5_000;

/** Serves this VM's roles to others over WebSocket with mutual TLS. A peer without a valid certificate is refused. */
export class LinkServer {
    private readonly links = new Set<{ terminate(): void; }>();

    private constructor(private readonly options: LinkServerOptions, private readonly server: Server, private readonly webSockets: WebSocketServer) {
        webSockets.on("connection", socket => {
            this.links.add(socket);
            socket.on("close", () => this.links.delete(socket));
            socket.on("error", () => socket.terminate());
        });
    }

    /** Makes a server that does not listen yet. Fails when the certificates cannot be used. */
    public static create(options: LinkServerOptions): Result<LinkServer, Failure> {
        const { certificate, privateKey, authority } = options.tls;
        let server: Server;
        try {
            server = createServer({ cert: certificate, key: privateKey, ca: authority, requestCert: true, rejectUnauthorized: true, minVersion: "TLSv1.3" });
        }
        catch (err) {
            return Err(createFailure(Diagnostics.certificateInvalid, RunOutcome.DidNotRun, String(err)));
        }
        const webSockets = new WebSocketServer({ server, maxPayload: maxMessageBytes, perMessageDeflate: false });
        applyWSSHandler({
            wss: webSockets,
            router: createLinkRouter(options.services),
            keepAlive: { enabled: true, pingMs: quietBeforePingMs, pongWaitMs },
            createContext: ({ res }): LinkContext => {
                const transactions = OpenTransactions.create();
                res.on("close", () => transactions.rollBackAll(options.services.owner));
                return { transactions };
            },
        });
        return Ok(new LinkServer(options, server, webSockets));
    }

    /** Starts to listen and returns the port. */
    public *listen(): Operation<Result<number, Failure>> {
        const { host, port } = this.options;
        const started = new Promise<Error | undefined>(resolve => {
            this.server.once("error", resolve);
            this.server.listen(port, host, () => resolve(undefined));
        });
        const err = yield* fromPromise(started);
        if (err !== undefined) return Err(createFailure(Diagnostics.listenFailed, RunOutcome.DidNotRun, host, port, err.message));
        this.server.on("error", () => {});
        return Ok((this.server.address() as AddressInfo).port);
    }

    /** Number of open links from other VMs. */
    public get linkCount(): number {
        return this.links.size;
    }

    public close(): void {
        for (const link of this.links) link.terminate();
        this.webSockets.close();
        this.server.close();
    }
}
