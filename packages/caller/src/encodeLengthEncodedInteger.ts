const maxOneByteInteger = 250;

/** Encodes a length-encoded integer of the MySQL protocol. Values above 2^53 lose precision. */
export function encodeLengthEncodedInteger(value: number): Buffer {
    if (value <= maxOneByteInteger) return Buffer.from([value]);
    if (value <= 0xffff) return Buffer.from([0xfc, value & 0xff, value >> 8]);
    const buffer = Buffer.alloc(9);
    buffer[0] = 0xfe;
    buffer.writeBigUInt64LE(BigInt(value), 1);
    return buffer;
}
