const headerBytes = 4;

/** A packet that `mysql2` writes; it fills in the header. */
export class OutboundPacket {
    private constructor(public readonly buffer: Buffer) {}

    /** Makes a packet from its payload, which must be shorter than 16 MB. */
    public static create(payload: readonly Uint8Array[]): OutboundPacket {
        return new OutboundPacket(Buffer.concat([Buffer.alloc(headerBytes), ...payload]));
    }

    public length(): number {
        return this.buffer.length;
    }

    public writeHeader(sequenceId: number): void {
        this.buffer.writeUIntLE(this.buffer.length - headerBytes, 0, 3);
        this.buffer[3] = sequenceId;
    }
}
