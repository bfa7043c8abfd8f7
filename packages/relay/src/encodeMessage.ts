import { RelayRequest } from "./relayRequest";
import { RelayResponse } from "./relayResponse";

const nonLatin1 = /[\u0100-\uffff]/g;

function escapeCharacter(character: string): string {
    return `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`;
}

/** Encodes a message as one line, with its terminator. JSON escapes line breaks; the connection is Latin-1, so other characters are escaped too. */
export function encodeMessage(message: RelayRequest | RelayResponse): string {
    return `${JSON.stringify(message).replace(nonLatin1, escapeCharacter)}\r\n`;
}
