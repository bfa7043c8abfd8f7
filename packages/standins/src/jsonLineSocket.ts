import { Socket } from "node:net";

/** A TCP connection that carries one JSON value per line. */
export class JsonLineSocket {
    private incompleteLine = "";

    private constructor(private readonly socket: Socket, private readonly onMessage: (message: unknown) => void, onClose: () => void) {
        socket.setNoDelay(true);
        socket.setEncoding("utf8");
        socket.on("data", (text: string) => this.receive(text));
        socket.on("error", () => socket.destroy());
        socket.on("close", onClose);
    }

    public static create(socket: Socket, onMessage: (message: unknown) => void, onClose: () => void): JsonLineSocket {
        return new JsonLineSocket(socket, onMessage, onClose);
    }

    public send(message: unknown): void {
        if (!this.socket.destroyed) this.socket.write(JSON.stringify(message) + "\n");
    }

    public close(): void {
        this.socket.destroy();
    }

    private receive(text: string): void {
        const lines = (this.incompleteLine + text).split("\n");
        this.incompleteLine = lines.pop()!;
        for (const line of lines) this.onMessage(JSON.parse(line));
    }
}
