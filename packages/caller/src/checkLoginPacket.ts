import { InboundPacket } from "./inboundPacket";
import { protocolConstants } from "./protocolConstants";

const maxLoginPacketBytes = 65_536;
const fixedFieldBytes = 32;
const bytesBetweenCapabilitiesAndUser = 28;

const maxOneByteLength = 0xfa;
const eightByteLengthTag = 0xfe;
const twoByteLengthTag = 0xfc;

/**
 * Reads a length-encoded integer. Returns NaN if its first byte is invalid; `mysql2` would print a stack trace for such a byte.
 * Skipping NaN bytes makes the offset NaN, and every later comparison with the end of the packet fails.
 */
function readEncodedLength(packet: InboundPacket): number {
    const tag = packet.offset < packet.end ? packet.readInt8() : Number.NaN;
    if (tag <= maxOneByteLength) return tag;
    if (!(tag >= twoByteLengthTag && tag <= eightByteLengthTag)) return Number.NaN;
    packet.skip(-1);
    return Number(packet.readLengthCodedNumber());
}

/** Returns whether the offset is within the packet or at its end. */
function isWithinPacket(packet: InboundPacket): boolean {
    return packet.offset <= packet.end;
}

function checkAttributes(packet: InboundPacket): boolean {
    const end = readEncodedLength(packet) + packet.offset;
    if (!(end <= packet.end)) return false;
    while (packet.offset < end) packet.skip(readEncodedLength(packet));
    return packet.offset === end;
}

/**
 * Returns whether a login packet is well-formed, with all lengths inside the packet. `mysql2` reads connection attributes
 * up to the length that the client states, so an incorrect length would make it loop forever and block the process.
 */
export function checkLoginPacket(received: InboundPacket): boolean {
    if (received.length() > maxLoginPacketBytes || received.length() < protocolConstants.headerBytes + fixedFieldBytes) return false;
    const packet = received.clone();
    packet.offset = received.offset;
    const flags = packet.readInt32() & protocolConstants.capabilities;
    if ((flags & protocolConstants.protocol41) === 0 || (flags & protocolConstants.secureConnection) === 0) return false;
    packet.skip(bytesBetweenCapabilitiesAndUser);
    packet.readNullTerminatedString("latin1");
    if (!isWithinPacket(packet)) return false;
    packet.skip((flags & protocolConstants.lengthEncodedAuthData) === 0 ? packet.readInt8() : readEncodedLength(packet));
    if (!isWithinPacket(packet)) return false;
    if ((flags & protocolConstants.connectWithDatabase) !== 0) packet.readNullTerminatedString("latin1");
    if ((flags & protocolConstants.pluginAuthentication) !== 0) packet.readNullTerminatedString("latin1");
    if ((flags & protocolConstants.connectionAttributes) === 0) return true;
    return checkAttributes(packet);
}
