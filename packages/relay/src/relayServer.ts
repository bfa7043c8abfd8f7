import { Clock } from "@vanillarouter/base/clock";
import { LineSocket } from "@vanillarouter/base/lineSocket";
import { Operation } from "@vanillarouter/base/operation";
import { sleep } from "@vanillarouter/base/sleep";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import * as bunyan from "bunyan";
import { createServer, Server, Socket } from "node:net";
import { decodeMessage } from "./decodeMessage";
import { encodeMessage } from "./encodeMessage";
import { LargeMessageTurns } from "./largeMessageTurns";
import { RelayLimits } from "./relayLimits";
import { RelayRequest } from "./relayRequest";
import { RelayRequestHandler } from "./relayRequestHandler";
import { relayRequestSchema } from "./relayRequestSchema";
import { RelayResponse } from "./relayResponse";

const silenceCheckIntervalMs = 500;

interface EntryLink {
    readonly lineSocket: LineSocket;
    readonly handler: RelayRequestHandler;
    readonly largeMessageTurns: LargeMessageTurns;
    lastReceivedAt: number;
}

/** Serves the entry VMs that relay statements to this gateway. */
export class RelayServer {
    private readonly links = new Set<EntryLink>();
    private runningCalls = 0;

    private constructor(
        private readonly clock: Clock,
        private readonly tasks: TaskGroup,
        private readonly log: bunyan,
        private readonly createRequestHandler: () => RelayRequestHandler,
    ) {}

    public static create(clock: Clock, tasks: TaskGroup, log: bunyan, createRequestHandler: () => RelayRequestHandler): RelayServer {
        return new RelayServer(clock, tasks, log, createRequestHandler);
    }

    /** Creates the server that accepts the links of entry VMs. */
    public createServer(): Server {
        this.tasks.start(this.closeSilentLinks());
        return createServer(socket => this.tasks.start(this.serve(socket)));
    }

    /** Number of calls in progress and of transactions held open for entry VMs. */
    public get openOperations(): number {
        return this.runningCalls + [...this.links].reduce((sum, link) => sum + link.handler.openTransactions, 0);
    }

    /** Rolls back all open transactions. One that is running a statement is rolled back after the statement. */
    public closeTransactions(): void {
        for (const { handler } of this.links) handler.rollBackAll();
    }

    private *serve(socket: Socket): Operation<void> {
        const lineSocket = LineSocket.create(socket, RelayLimits.maxMessageBytes);
        const handler = this.createRequestHandler();
        const link = { lineSocket, handler, largeMessageTurns: LargeMessageTurns.create(lineSocket), lastReceivedAt: this.clock.now() };
        this.links.add(link);
        try {
            for (;;) {
                const line = yield* lineSocket.receive();
                if (line === undefined) return;
                link.lastReceivedAt = this.clock.now();
                const message = decodeMessage(relayRequestSchema, line);
                if (message === undefined) {
                    this.log.warn({ peer: lineSocket.remoteAddress }, "relay.message-unreadable");
                    return;
                }
                this.dispatch(message, link);
            }
        }
        finally {
            handler.rollBackAll();
            this.links.delete(link);
            lineSocket.close();
        }
    }

    /** Closes links whose entry VM has disappeared without closing the connection. */
    private *closeSilentLinks(): Operation<never> {
        for (;;) {
            yield* sleep(this.clock, silenceCheckIntervalMs);
            const now = this.clock.now();
            for (const { lineSocket, handler, lastReceivedAt } of this.links) {
                if (now - lastReceivedAt > (handler.openTransactions > 0 ? RelayLimits.transactionSilenceMs : RelayLimits.idleSilenceMs)) lineSocket.close();
            }
        }
    }

    private dispatch(message: RelayRequest, link: EntryLink): void {
        const { handler, lineSocket } = link;
        switch (message.kind) {
            case "ping":
                return this.send(lineSocket, { kind: "pong", acceptsCancel: true });
            case "check":
                return this.send(lineSocket, { kind: handler.acceptsService(message.service) ? "ready" : "declined", call: message.call });
            case "cancel":
                return handler.cancel(message.call);
            case "quota":
                return this.send(lineSocket, handler.grant(message));
            case "roll-back":
                return handler.rollBack(message.transaction);
            case "run":
                this.tasks.start(this.sendCountedResponse(link, handler.run(message)));
                return;
            case "transact":
                this.tasks.start(this.sendCountedResponse(link, handler.transact(message)));
                return;
            case "follow":
                this.tasks.start(this.sendResponse(link, handler.follow(message)));
                return;
            case "configuration":
                this.tasks.start(this.sendResponse(link, handler.readConfiguration(message)));
        }
    }

    private *sendResponse(link: EntryLink, operation: Operation<RelayResponse>): Operation<void> {
        const text = encodeMessage(yield* operation);
        yield* link.largeMessageTurns.wait(text.length);
        link.lineSocket.send(text);
    }

    /** Like `sendResponse`, but counted in `openOperations`, so that a graceful stop waits for it. */
    private *sendCountedResponse(link: EntryLink, operation: Operation<RelayResponse>): Operation<void> {
        this.runningCalls++;
        try {
            yield* this.sendResponse(link, operation);
        }
        finally {
            this.runningCalls--;
        }
    }

    private send(lineSocket: LineSocket, response: RelayResponse): void {
        lineSocket.send(encodeMessage(response));
    }
}
