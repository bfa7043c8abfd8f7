/** A packet as the server side of `mysql2` receives it. Valid only until the handler that receives it returns. */
export interface InboundPacket {
    readonly sequenceId: number;
    readonly end: number;
    offset: number;
    /** Number of bytes, including the four-byte header. */
    length(): number;
    clone(): InboundPacket;
    skip(count: number): void;
    readInt8(): number;
    readInt32(): number;
    readNullTerminatedString(encoding: string): string;
    readLengthCodedNumber(): unknown;
    readString(byteLength: number | undefined, encoding: string): string;
}
