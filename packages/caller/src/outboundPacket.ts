const headerBytes = 4;

/** A packet to be sent by `mysql2`, which calls `writeHeader` with the sequence id. */
export class OutboundPacket {
    private constructor(public readonly buffer: Buffer) {}

    /** Creates a packet from its payload, which must be shorter than 16 MB. */
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
