const headerLength = 4;

function encodeLengthEncodedInteger(value: number): Buffer {
    if (value < 251) return Buffer.from([value]);
    const bytes = Buffer.alloc(9);
    bytes[0] = 0xfe;
    bytes.writeBigUInt64LE(BigInt(value), 1);
    return bytes;
}

/** An OK packet with an `info` text, for `writePacket` of `mysql2`. The OK packet of the library has no such text. */
export class OkPacket {
    public readonly buffer: Buffer;

    private constructor(affectedRows: number, insertId: number, info: string) {
        // SERVER_STATUS_AUTOCOMMIT and no warnings, as two little-endian 16-bit integers.
        const statusAndWarnings = Buffer.from([2, 0, 0, 0]);
        const header = Buffer.alloc(headerLength);
        this.buffer = Buffer.concat([
            header,
            Buffer.from([0]),
            encodeLengthEncodedInteger(affectedRows),
            encodeLengthEncodedInteger(insertId),
            statusAndWarnings,
            Buffer.from(info),
        ]);
    }

    public static create(affectedRows: number, insertId: number, info: string): OkPacket {
        return new OkPacket(affectedRows, insertId, info);
    }

    public length(): number {
        return this.buffer.length;
    }

    public writeHeader(sequenceId: number): void {
        this.buffer.writeUIntLE(this.buffer.length - headerLength, 0, 3);
        this.buffer[3] = sequenceId;
    }
}
