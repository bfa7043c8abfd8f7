import { LogPosition } from "@vanillarouter/base/logPosition";
import { createHmac, timingSafeEqual } from "node:crypto";
import { SessionFloors } from "./sessionFloors";

const formatVersion = 1;
/** Set in the first byte of a token that omits floors. */
const partialFlag = 0x80;
const signatureBytes = 16;
/** Limits the encoded token to about 1,400 characters, which fit in the `info` text of an OK packet and in a hint comment. */
const maxBodyBytes = 1024;
const maxEncodedLength = Math.ceil(((maxBodyBytes + signatureBytes) * 4) / 3);

/** Appends a number with 7 bits a byte, lowest bits first. The high bit is set in all bytes but the last. */
function writeNumber(bytes: number[], value: number): void {
    let remaining = value;
    while (remaining >= 0x80) {
        bytes.push((remaining % 0x80) + 0x80);
        remaining = Math.floor(remaining / 0x80);
    }
    bytes.push(remaining);
}

function encodeFloor(group: string, floor: LogPosition): number[] {
    const name = Buffer.from(group, "utf8");
    const bytes: number[] = [];
    writeNumber(bytes, name.length);
    bytes.push(...name);
    writeNumber(bytes, floor.term);
    writeNumber(bytes, floor.position);
    return bytes;
}

/** Reads the body of a token whose signature has been verified. */
class TokenReader {
    private offset = 1;

    private constructor(private readonly body: Buffer) {}

    public static create(body: Buffer): TokenReader {
        return new TokenReader(body);
    }

    public get hasMore(): boolean {
        return this.offset < this.body.length;
    }

    public readNumber(): number {
        let value = 0;
        let factor = 1;
        for (;;) {
            const byte = this.body[this.offset++] ?? 0;
            value += (byte & 0x7f) * factor;
            if (byte < 0x80) return value;
            factor *= 0x80;
        }
    }

    public readText(): string {
        const length = this.readNumber();
        const text = this.body.toString("utf8", this.offset, this.offset + length);
        this.offset += length;
        return text;
    }
}

/**
 * Encodes the floors of a session as text, signed with the cluster key, that the caller passes from VM to VM. The size of
 * a token is limited: floors that do not fit are omitted and the token is marked as partial, so that the omitted floors
 * are confirmed like those of a session without a token.
 */
export class SessionTokenCodec {
    private constructor(private readonly key: Buffer) {}

    public static create(key: Buffer): SessionTokenCodec {
        return new SessionTokenCodec(key);
    }

    public encode(floors: SessionFloors): string {
        const bytes = [formatVersion];
        let isPartial = !floors.isComplete;
        for (const [group, floor] of floors.byGroup) {
            const encodedFloor = encodeFloor(group, floor);
            if (bytes.length + encodedFloor.length > maxBodyBytes) isPartial = true;
            else bytes.push(...encodedFloor);
        }
        if (isPartial) bytes[0] = formatVersion | partialFlag;
        const body = Buffer.from(bytes);
        return Buffer.concat([this.sign(body), body]).toString("base64url");
    }

    /** Merges the floors of a token into those of a session. Returns false for a token that this cluster did not sign. */
    public decodeInto(token: string, floors: SessionFloors, now: number): boolean {
        if (token.length > maxEncodedLength) return false;
        const bytes = Buffer.from(token, "base64url");
        if (bytes.length <= signatureBytes || bytes.toString("base64url") !== token) return false;
        const body = bytes.subarray(signatureBytes);
        if (!timingSafeEqual(this.sign(body), bytes.subarray(0, signatureBytes))) return false;
        if ((body[0]! & ~partialFlag) !== formatVersion) return false;
        this.mergeFloors(TokenReader.create(body), floors, now);
        floors.recordToken((body[0]! & partialFlag) !== 0);
        return true;
    }

    private mergeFloors(reader: TokenReader, floors: SessionFloors, now: number): void {
        while (reader.hasMore) {
            const group = reader.readText();
            const term = reader.readNumber();
            const position = reader.readNumber();
            floors.raise(group, { term, position }, now);
        }
    }

    private sign(body: Buffer): Buffer {
        return createHmac("sha256", this.key).update(body).digest().subarray(0, signatureBytes);
    }
}
