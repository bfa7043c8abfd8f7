import { Server } from "node:net";

/** Address and callbacks of a server. */
interface BindOptions {
    readonly host: string;
    readonly port: number;
    /** Length of the queue of connections that the process has not accepted yet. */
    readonly backlog?: number;
    /** Called if the address cannot be bound. The server does not listen then. */
    readonly onUnbound: (err: Error) => void;
    /** Called for an error of a server that listens, such as a connection that could not be accepted. */
    readonly onError: (err: Error) => void;
}

/** Starts listening and distinguishes an address that cannot be bound from an error of a server that listens. */
export function bindServer(server: Server, { host, port, backlog, onUnbound, onError }: BindOptions): void {
    server.on("error", err => {
        if (server.listening) onError(err);
        else onUnbound(err);
    });
    server.listen({ host, port, backlog });
}
