import { connect, createServer } from "node:net";

/**
 * A proxy in front of one address that can be cut. While it is cut, new connections are refused, and what was sent on open ones is held
 * up, as by a partition: it arrives when the cut ends, also if its sender has closed the connection since, but not if it has reset it.
 */
export class HeldProxy {
    constructor(ip, address) {
        this.ip = ip;
        this.target = address;
        this.isCut = false;
        this.pairs = new Set();
        /** Called when a connection has been opened, before anything is passed on. */
        this.onConnection = () => undefined;
    }

    async listen(port = 0) {
        this.server = createServer({ allowHalfOpen: true }, socket => this.accept(socket));
        await new Promise(resolve => this.server.listen(port, this.ip, resolve));
        this.port = this.server.address().port;
        this.address = `${this.ip}:${this.port}`;
    }

    /** Cuts the path for a time. */
    cut(durationMs) {
        this.isCut = true;
        this.server.close();
        setTimeout(() => {
            this.isCut = false;
            void this.listen(this.port);
            for (const pair of this.pairs) this.release(pair);
        }, durationMs);
    }

    accept(client) {
        const [host, port] = this.target.split(":");
        const server = connect({ host, port: Number(port), allowHalfOpen: true });
        const pair = { client, server, toServer: [], toClient: [] };
        this.pairs.add(pair);
        this.onConnection();
        this.pass(pair, client, server, pair.toServer);
        this.pass(pair, server, client, pair.toClient);
    }

    pass(pair, from, to, held) {
        from.setNoDelay(true);
        from.on("data", data => this.isCut ? held.push(() => to.write(data)) : to.write(data));
        from.on("end", () => this.isCut ? held.push(() => to.end()) : to.end());
        from.on("error", () => {
            // A reset drops what is held up.
            held.length = 0;
            this.pairs.delete(pair);
            to.destroy();
        });
    }

    release(pair) {
        for (const send of pair.toServer.splice(0)) send();
        for (const send of pair.toClient.splice(0)) send();
    }

    close() {
        this.server.close();
        for (const { client, server } of this.pairs) {
            client.destroy();
            server.destroy();
        }
    }
}
