import { InboundPacket } from "./inboundPacket";
import { protocolConstants } from "./protocolConstants";

const largestBytes = 65_536;
const fixedBytes = 32;
const bytesBetweenCharacterSetAndUser = 28;

const largestShortLength = 0xfa;
const longestLengthTag = 0xfe;
const shortestLengthTag = 0xfc;

/** Reads a length; NaN if its first byte is not one. `mysql2` prints a stack trace for such a byte. */
function readLength(packet: InboundPacket): number {
    const tag = packet.offset < packet.end ? packet.readInt8() : Number.NaN;
    if (tag <= largestShortLength) return tag;
    if (!(tag >= shortestLengthTag && tag <= longestLengthTag)) return Number.NaN;
    packet.skip(-1);
    return Number(packet.readLengthCodedNumber());
}

/** Whether the offset is inside the packet, or at its end. */
function isInside(packet: InboundPacket): boolean {
    return packet.offset <= packet.end;
}

function checkAttributes(packet: InboundPacket): boolean {
    const end = readLength(packet) + packet.offset;
    if (!(end <= packet.end)) return false;
    while (packet.offset < end) packet.skip(readLength(packet));
    return packet.offset === end;
}

/**
 * Checks that the lengths in a login packet stay inside the packet. `mysql2` reads connection attributes up to the end
 * that the client states, so a false length would occupy the process for ever.
 */
export function checkLoginPacket(received: InboundPacket): boolean {
    if (received.length() > largestBytes || received.length() < protocolConstants.headerBytes + fixedBytes) return false;
    const packet = received.clone();
    packet.offset = received.offset;
    const flags = packet.readInt32() & protocolConstants.capabilities;
    if ((flags & protocolConstants.protocol41) === 0 || (flags & protocolConstants.secureConnection) === 0) return false;
    packet.skip(bytesBetweenCharacterSetAndUser);
    packet.readNullTerminatedString("latin1");
    if (!isInside(packet)) return false;
    packet.skip((flags & protocolConstants.lengthCodedAuthentication) === 0 ? packet.readInt8() : readLength(packet));
    if (!isInside(packet)) return false;
    if ((flags & protocolConstants.connectWithDatabase) !== 0) packet.readNullTerminatedString("latin1");
    if ((flags & protocolConstants.pluginAuthentication) !== 0) packet.readNullTerminatedString("latin1");
    if ((flags & protocolConstants.connectionAttributes) === 0) return true;
    return checkAttributes(packet);
}
