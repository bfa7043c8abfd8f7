import { InboundPacket } from "./inboundPacket";
import { protocolConstants } from "./protocolConstants";

const largestBytes = 65_536;
const fixedBytes = 32;
const bytesBetweenCharacterSetAndUser = 28;

function skipToken(packet: InboundPacket, flags: number): void {
    const isLengthCoded = (flags & protocolConstants.lengthCodedAuthentication) !== 0;
    packet.skip(isLengthCoded ? Number(packet.readLengthCodedNumber()) : packet.readInt8());
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
    if ((flags & protocolConstants.protocol41) === 0) return false;
    packet.skip(bytesBetweenCharacterSetAndUser);
    packet.readNullTerminatedString("latin1");
    if (packet.offset > packet.end) return false;
    skipToken(packet, flags);
    if (!(packet.offset <= packet.end)) return false;
    if ((flags & protocolConstants.connectWithDatabase) !== 0) packet.readNullTerminatedString("latin1");
    if ((flags & protocolConstants.pluginAuthentication) !== 0) packet.readNullTerminatedString("latin1");
    if ((flags & protocolConstants.connectionAttributes) === 0) return true;
    const attributeBytes = packet.offset < packet.end ? Number(packet.readLengthCodedNumber()) : 0;
    return packet.offset + attributeBytes <= packet.end;
}
