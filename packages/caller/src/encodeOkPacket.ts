import { encodeInteger } from "./encodeInteger";
import { OutboundPacket } from "./outboundPacket";

/**
 * Makes an OK packet. `mysql2` makes one too, but reserves no room for the `info` text. The text is length-coded, as
 * MySQL servers send it.
 */
export function encodeOkPacket(affectedRows: number, insertId: number, statusFlags: number, info: string): OutboundPacket {
    const warnings = 0;
    const status = Buffer.from([statusFlags & 0xff, statusFlags >> 8, warnings, warnings]);
    const payload = [Buffer.from([0]), encodeInteger(affectedRows), encodeInteger(insertId), status];
    if (info === "") return OutboundPacket.create(payload);
    const text = Buffer.from(info, "utf8");
    return OutboundPacket.create([...payload, encodeInteger(text.length), text]);
}
