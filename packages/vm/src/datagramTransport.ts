/** Sends and receives datagrams, which may be lost, delayed or duplicated. */
export interface DatagramTransport {
    send(host: string, port: number, data: Uint8Array): void;
    /** Sets the function that is called with each received datagram. */
    setListener(listener: (data: Uint8Array) => void): void;
}
