/** Sends and receives datagrams. Any of them may be lost, late or repeated. */
export interface DatagramTransport {
    send(host: string, port: number, data: Uint8Array): void;
    /** Sets the function that gets each datagram. */
    setListener(listener: (data: Uint8Array) => void): void;
}
