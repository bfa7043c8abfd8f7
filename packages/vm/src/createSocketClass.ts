import { WebSocket } from "ws";
import { TlsSettings } from "./tlsSettings";

const handshakeTimeoutMs = 2_000;

/**
 * Makes the WebSocket class that a `trpc` client opens links with. VMs are reached by IP address, so what is checked of
 * the peer's certificate is that the cluster's authority signed it, not a host name.
 */
export function createSocketClass(tls: TlsSettings): typeof WebSocket {
    return class extends WebSocket {
        constructor(url: string) {
            super(url, {
                cert: tls.certificate,
                key: tls.privateKey,
                ca: tls.authority,
                // Node takes undefined for success; the types of `ws` ask for a boolean.
                checkServerIdentity: (() => undefined) as never,
                minVersion: "TLSv1.3",
                perMessageDeflate: false,
                handshakeTimeout: handshakeTimeoutMs,
            });
        }
    } as typeof WebSocket;
}
