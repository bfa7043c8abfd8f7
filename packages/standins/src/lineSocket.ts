import { Socket } from "node:net";

/** A TCP connection that carries one JSON value a line. */
export class LineSocket {
    private rest = "";

    private constructor(private readonly socket: Socket, private readonly onMessage: (message: unknown) => void, onClose: () => void) {
        socket.setNoDelay(true);
        socket.setEncoding("utf8");
        socket.on("data", (text: string) => this.take(text));
        socket.on("error", () => socket.destroy());
        socket.on("close", onClose);
    }

    public static create(socket: Socket, onMessage: (message: unknown) => void, onClose: () => void): LineSocket {
        return new LineSocket(socket, onMessage, onClose);
    }

    public send(message: unknown): void {
        if (!this.socket.destroyed) this.socket.write(JSON.stringify(message) + "\n");
    }

    public close(): void {
        this.socket.destroy();
    }

    private take(text: string): void {
        const lines = (this.rest + text).split("\n");
        this.rest = lines.pop()!;
        for (const line of lines) this.onMessage(JSON.parse(line));
    }
}
