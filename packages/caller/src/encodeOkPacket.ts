import { encodeLengthEncodedInteger } from "./encodeLengthEncodedInteger";
import { OutboundPacket } from "./outboundPacket";

/**
 * Encodes an OK packet. The encoder of `mysql2` reserves no space for the `info` text. The text is a length-encoded
 * string, as MySQL servers send it.
 */
export function encodeOkPacket(affectedRows: number, insertId: number, statusFlags: number, info: string): OutboundPacket {
    const warnings = 0;
    const status = Buffer.from([statusFlags & 0xff, statusFlags >> 8, warnings, warnings]);
    const payload = [Buffer.from([0]), encodeLengthEncodedInteger(affectedRows), encodeLengthEncodedInteger(insertId), status];
    if (info === "") return OutboundPacket.create(payload);
    const text = Buffer.from(info, "utf8");
    return OutboundPacket.create([...payload, encodeLengthEncodedInteger(text.length), text]);
}
