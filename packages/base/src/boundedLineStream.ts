import { write } from "node:fs";
import { Writable } from "node:stream";

/** Lines waiting for a slow reader, in bytes. What comes on top is left out and counted. */
const mostWaitingBytes = 262_144;

/**
 * Writes lines to a file descriptor without ever blocking the program. A pipe's own stream would block when its reader
 * stops, so writes go through the thread pool, one at a time.
 */
export class BoundedLineStream {
    private waiting: string[] = [];
    private waitingBytes = 0;
    private omitted = 0;
    private isWriting = false;

    private constructor(private readonly descriptor: number) {}

    public static create(descriptor: number): Writable {
        return new BoundedLineStream(descriptor) as unknown as Writable;
    }

    public write(line: string): boolean {
        if (this.waitingBytes + line.length > mostWaitingBytes) {
            this.omitted++;
            return false;
        }
        this.waiting.push(line);
        this.waitingBytes += line.length;
        this.writeNext();
        return true;
    }

    private writeNext(): void {
        if (this.isWriting || this.waiting.length === 0) return;
        let text = this.waiting.join("");
        if (this.omitted > 0) text += `event=log.omitted lines=${this.omitted}\n`;
        this.omitted = 0;
        this.waiting = [];
        this.waitingBytes = 0;
        this.writeAll(Buffer.from(text, "utf8"), 0);
    }

    private writeAll(data: Buffer, offset: number): void {
        this.isWriting = true;
        write(this.descriptor, data, offset, data.length - offset, null, (err, written) => {
            this.isWriting = false;
            // A closed reader leaves nobody to tell; the program goes on without its log.
            if (err === null && offset + written < data.length) this.writeAll(data, offset + written);
            else this.writeNext();
        });
    }
}
