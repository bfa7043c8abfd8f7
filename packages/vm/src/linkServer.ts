import { Clock } from "@vanillarouter/base/clock";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { fromPromise } from "@vanillarouter/base/fromPromise";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { createServer, Server } from "node:https";
import { AddressInfo } from "node:net";
import { Err, Ok, Result } from "ts-results";
import { WebSocket, WebSocketServer } from "ws";
import { createCallHandler } from "./createCallHandler";
import { createLinkRouter } from "./createLinkRouter";
import { Diagnostics } from "./diagnostics";
import { LinkRouter } from "./linkRouter";
import { MessageSocket } from "./messageSocket";
import { OpenTransactions } from "./openTransactions";
import { PeerServices } from "./peerServices";
import { TlsSettings } from "./tlsSettings";

interface LinkServerOptions {
    readonly clock: Clock;
    readonly host: string;
    /** Port to listen on; 0 selects a free one. */
    readonly port: number;
    readonly tls: TlsSettings;
    readonly services: PeerServices;
}

const maxPayloadBytes = 32 * 1_048_576;
const sweepIntervalMs = 5_000;
const silenceBeforePingMs = 30_000;
const maxSilenceMs = 45_000;

/** Serves this VM's roles to other VMs over WebSocket with mutual TLS. Peers without a valid certificate are refused. */
export class LinkServer {
    private readonly links = new Set<MessageSocket>();
    private stopSweep: () => void = () => {};

    private constructor(
        private readonly options: LinkServerOptions,
        private readonly server: Server,
        private readonly webSockets: WebSocketServer,
        private readonly router: LinkRouter,
    ) {
        webSockets.on("connection", socket => this.accept(socket));
    }

    /** Creates a server that is not listening yet. Fails if the certificates cannot be used. */
    public static create(options: LinkServerOptions): Result<LinkServer, Failure> {
        const { certificate, privateKey, authority } = options.tls;
        let server: Server;
        try {
            server = createServer({ cert: certificate, key: privateKey, ca: authority, requestCert: true, rejectUnauthorized: true, minVersion: "TLSv1.3" });
        }
        catch (err) {
            return Err(createFailure(Diagnostics.certificateInvalid, RunOutcome.DidNotRun, String(err)));
        }
        const webSockets = new WebSocketServer({ server, maxPayload: maxPayloadBytes, perMessageDeflate: false });
        return Ok(new LinkServer(options, server, webSockets, createLinkRouter(options.services)));
    }

    /** Starts listening and returns the bound port. */
    public *listen(): Operation<Result<number, Failure>> {
        const { host, port } = this.options;
        const started = new Promise<Error | undefined>(resolve => {
            this.server.once("error", resolve);
            this.server.listen(port, host, () => resolve(undefined));
        });
        const err = yield* fromPromise(started);
        if (err !== undefined) return Err(createFailure(Diagnostics.listenFailed, RunOutcome.DidNotRun, host, port, err.message));
        this.server.on("error", () => {});
        this.scheduleSweep();
        return Ok((this.server.address() as AddressInfo).port);
    }

    /** Number of open links from other VMs. */
    public get linkCount(): number {
        return this.links.size;
    }

    public close(): void {
        this.stopSweep();
        for (const link of this.links) link.terminate();
        this.webSockets.close();
        this.server.close();
    }

    private accept(socket: WebSocket): void {
        const transactions = OpenTransactions.create();
        const handleCall = createCallHandler(this.router, { transactions }, message => link.send(message));
        const link = MessageSocket.create(socket, this.options.clock, handleCall);
        this.links.add(link);
        socket.on("error", () => socket.terminate());
        socket.on("close", () => {
            this.links.delete(link);
            transactions.rollBackAll(this.options.services.owner);
        });
    }

    /** Pings links without recent traffic and closes those that stay silent, whose peers disappeared without closing the connection. */
    private scheduleSweep(): void {
        const { clock } = this.options;
        this.stopSweep = clock.startTimer(sweepIntervalMs, () => {
            for (const link of this.links) {
                const silentMs = clock.now() - link.lastInboundAt;
                if (silentMs >= maxSilenceMs) link.terminate();
                else if (silentMs >= silenceBeforePingMs) link.ping();
            }
            this.scheduleSweep();
        });
    }
}
