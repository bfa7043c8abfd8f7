import { createSocket, Socket } from "node:dgram";
import { createServer } from "node:net";

const host = "127.0.0.1";
/** Below the range from which operating systems take the ports of outgoing connections. */
const firstPort = 20_000;
const portCount = 10_000;

/**
 * Reserves TCP ports for processes that listen on them later and more than once. A port that was merely found to be free may be
 * taken before its process listens on it, or between two of its starts.
 *
 * Each reservation is a UDP socket on the port of the same number, so reservations of different processes do not collide.
 */
export class PortReservations {
    private readonly sockets: Socket[] = [];

    private constructor() {}

    public static create(): PortReservations {
        return new PortReservations();
    }

    /** Returns a TCP port that nothing listens on and that stays reserved until `release` or the end of the process. */
    public async reserve(): Promise<number> {
        const offset = Math.floor(Math.random() * portCount);
        for (let index = 0; index < portCount; index++) {
            const port = firstPort + (offset + index) % portCount;
            if (await this.tryReserve(port)) return port;
        }
        throw new Error(`no free port from ${firstPort} to ${firstPort + portCount - 1}`);
    }

    public release(): void {
        for (const socket of this.sockets.splice(0)) socket.close();
    }

    private async tryReserve(port: number): Promise<boolean> {
        const socket = createSocket("udp4");
        const isReserved = await new Promise<boolean>(resolve => {
            socket.once("error", () => resolve(false));
            socket.bind({ address: host, port, exclusive: true }, () => resolve(true));
        });
        if (isReserved && await canListen(port)) {
            // A reservation must not keep the process running.
            this.sockets.push(socket.unref());
            return true;
        }
        socket.close();
        return false;
    }
}

async function canListen(port: number): Promise<boolean> {
    const server = createServer();
    const isFree = await new Promise<boolean>(resolve => {
        server.once("error", () => resolve(false));
        server.listen(port, host, () => resolve(true));
    });
    if (isFree) await new Promise(resolve => server.close(resolve));
    return isFree;
}
