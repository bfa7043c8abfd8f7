import { Clock } from "@vanillarouter/base/clock";
import { RawData, WebSocket } from "ws";
import { LinkMessage } from "./linkMessage";

/**
 * Sends and receives messages over a WebSocket. Messages sent within one iteration of the event loop are batched into one
 * frame, which under load saves most of the cost of encryption and system calls.
 */
export class MessageSocket {
    private queue: LinkMessage[] = [];
    private inboundAt: number;

    private constructor(private readonly socket: WebSocket, private readonly clock: Clock, private readonly onMessage: (message: LinkMessage) => void) {
        this.inboundAt = clock.now();
        socket.on("message", data => this.receive(data));
        socket.on("pong", () => this.recordInbound());
        socket.on("ping", () => this.recordInbound());
    }

    /** Wraps a socket, which may still be connecting. A frame that is not an array of messages terminates the socket. */
    public static create(socket: WebSocket, clock: Clock, onMessage: (message: LinkMessage) => void): MessageSocket {
        return new MessageSocket(socket, clock, onMessage);
    }

    /** Clock time at which the last message, ping or pong was received from the peer, in milliseconds. */
    public get lastInboundAt(): number {
        return this.inboundAt;
    }

    public send(message: LinkMessage): void {
        if (this.queue.push(message) === 1) setImmediate(() => this.flush());
    }

    public ping(): void {
        if (this.socket.readyState === WebSocket.OPEN) this.socket.ping();
    }

    public terminate(): void {
        this.socket.terminate();
    }

    private flush(): void {
        const messages = this.queue;
        this.queue = [];
        if (this.socket.readyState === WebSocket.OPEN) this.socket.send(JSON.stringify(messages));
    }

    private receive(data: RawData): void {
        this.recordInbound();
        const messages = parse(data);
        if (messages === undefined) {
            this.socket.terminate();
            return;
        }
        for (const message of messages) this.onMessage(message);
    }

    private recordInbound(): void {
        this.inboundAt = this.clock.now();
    }
}

function parse(data: RawData): readonly LinkMessage[] | undefined {
    try {
        const messages: unknown = JSON.parse(String(data));
        const isValid = Array.isArray(messages) && messages.every(message => typeof (message as LinkMessage | null)?.id === "number");
        return isValid ? messages as readonly LinkMessage[] : undefined;
    }
    catch {
        return undefined;
    }
}
