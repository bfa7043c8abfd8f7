import { createSecureContext } from "node:tls";
import { WebSocket } from "ws";
import { TlsSettings } from "./tlsSettings";

const handshakeTimeoutMs = 2_000;

/**
 * Creates the WebSocket class used to open links to other VMs. VMs are addressed by IP address, so the peer's certificate
 * is checked only for the signature of the cluster's authority, not for a host name.
 */
export function createWebSocketClass(tls: TlsSettings): typeof WebSocket {
    // Created once so that the certificates are not parsed again for each link.
    const secureContext = createSecureContext({ cert: tls.certificate, key: tls.privateKey, ca: tls.authority, minVersion: "TLSv1.3" });
    return class extends WebSocket {
        constructor(url: string) {
            const options = {
                secureContext,
                // Node treats undefined as success, but the type declarations of `ws` require a boolean.
                checkServerIdentity: (() => undefined) as never,
                perMessageDeflate: false,
                handshakeTimeout: handshakeTimeoutMs,
            };
            super(url, options);
        }
    } as typeof WebSocket;
}
