const largestOneByte = 250;

/** Encodes a length-coded integer of the MySQL protocol. Integers above 2^53 are not represented exactly. */
export function encodeInteger(value: number): Buffer {
    if (value <= largestOneByte) return Buffer.from([value]);
    if (value <= 0xffff) return Buffer.from([0xfc, value & 0xff, value >> 8]);
    const buffer = Buffer.alloc(9);
    buffer[0] = 0xfe;
    buffer.writeBigUInt64LE(BigInt(value), 1);
    return buffer;
}
