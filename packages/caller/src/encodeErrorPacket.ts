import { OutboundPacket } from "./outboundPacket";

const sqlState = "HY000";

/** Encodes an error packet with a MySQL error number and the general SQLSTATE HY000. */
export function encodeErrorPacket(errorNumber: number, text: string): OutboundPacket {
    const head = Buffer.from([0xff, errorNumber & 0xff, errorNumber >> 8]);
    return OutboundPacket.create([head, Buffer.from(`#${sqlState}${text}`, "utf8")]);
}
