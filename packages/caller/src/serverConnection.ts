import { Socket } from "node:net";
import { InboundPacket } from "./inboundPacket";
import { LoginAttempt } from "./loginAttempt";
import { OutboundPacket } from "./outboundPacket";
import { ProtocolColumn } from "./protocolColumn";

/** The parts of a server-side connection of `mysql2` that this package uses; its type declarations omit most of them. */
export interface ServerConnection {
    readonly stream: Socket;
    /** Holds the pieces of an incomplete packet, and the length that its header states. */
    readonly packetParser: { readonly buffer: unknown[]; bufferLength: number; readonly length: number; };
    /** Sequence id of the next packet in either direction. */
    sequenceId: number;
    /** Called with each complete packet. This package replaces it to check packets before `mysql2` handles them. */
    handlePacket(packet: InboundPacket | undefined): void;
    /** Present once the login packet has been read. */
    readonly clientHelloReply?: {
        encoding?: string;
        readonly connectAttributes?: Readonly<Record<string, string>>;
    };
    /** Present once the handshake has started. `encoding` applies to names and values sent to the client. */
    readonly serverConfig?: { encoding: string; };
    serverHandshake(args: {
        readonly protocolVersion: number;
        readonly serverVersion: string;
        readonly connectionId: number;
        readonly statusFlags: number;
        readonly characterSet: number;
        readonly capabilityFlags: number;
        readonly authCallback: (
            attempt: LoginAttempt,
            done: (err: undefined, refusal?: { readonly message: string; readonly code: number; }) => void,
        ) => void;
    }): void;
    writePacket(packet: OutboundPacket): void;
    writeColumns(columns: readonly ProtocolColumn[]): void;
    /** Writes null as SQL NULL. An undefined value would be written as an empty string. */
    writeTextRow(values: readonly (string | null)[]): void;
    writeEof(warnings: number, statusFlags: number): void;
    on(event: "error", listener: (err: Error) => void): void;
}
