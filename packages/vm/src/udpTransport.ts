import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { fromPromise } from "@vanillarouter/base/fromPromise";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { createSocket, Socket } from "node:dgram";
import { isIPv6 } from "node:net";
import { Err, Ok, Result } from "ts-results";
import { DatagramTransport } from "./datagramTransport";
import { Diagnostics } from "./diagnostics";

/** Sends and receives datagrams over UDP. Send errors are ignored and treated like lost datagrams. */
export class UdpTransport implements DatagramTransport {
    private constructor(private readonly socket: Socket, private readonly host: string) {}

    public static create(host: string): UdpTransport {
        const socket = createSocket(isIPv6(host) ? "udp6" : "udp4");
        socket.on("error", () => {});
        return new UdpTransport(socket, host);
    }

    /** Binds the socket, to a free port if `port` is 0, and returns the bound port. */
    public *bind(port: number): Operation<Result<number, Failure>> {
        const bound = new Promise<Error | undefined>(resolve => {
            this.socket.once("error", resolve);
            this.socket.bind(port, this.host, () => resolve(undefined));
        });
        const err = yield* fromPromise(bound);
        if (err !== undefined) return Err(createFailure(Diagnostics.listenFailed, RunOutcome.DidNotRun, this.host, port, err.message));
        return Ok(this.socket.address().port);
    }

    public send(host: string, port: number, data: Uint8Array): void {
        this.socket.send(data, port, host, () => {});
    }

    public setListener(listener: (data: Uint8Array) => void): void {
        this.socket.removeAllListeners("message");
        this.socket.on("message", listener);
    }

    public close(): void {
        this.socket.close();
    }
}
