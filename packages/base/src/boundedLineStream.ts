import { write } from "node:fs";
import { Writable } from "node:stream";

/** Maximum length of the buffered text for a slow reader, in UTF-16 code units. Lines that exceed it are dropped and counted. */
const maxBufferedLength = 262_144;

/**
 * Writes lines to a file descriptor without blocking the event loop. Node's stream for a pipe blocks when the reader stops
 * reading, so this class writes through the thread pool, one write at a time.
 */
export class BoundedLineStream {
    private bufferedLines: string[] = [];
    private bufferedLength = 0;
    private omittedLines = 0;
    private isWriting = false;

    private constructor(private readonly fileDescriptor: number) {}

    /** Creates a stream for `createLogger`, which calls only `write`. The other members of `Writable` are missing. */
    public static create(fileDescriptor: number): Writable {
        return new BoundedLineStream(fileDescriptor) as unknown as Writable;
    }

    /** Queues a line that ends with a line feed. Returns false if it was dropped. */
    public write(line: string): boolean {
        if (this.bufferedLength + line.length > maxBufferedLength) {
            this.omittedLines++;
            return false;
        }
        this.bufferedLines.push(line);
        this.bufferedLength += line.length;
        this.writeBuffered();
        return true;
    }

    private writeBuffered(): void {
        if (this.isWriting || this.bufferedLines.length === 0) return;
        let text = this.bufferedLines.join("");
        if (this.omittedLines > 0) text += `event=log.omitted lines=${this.omittedLines}\n`;
        this.omittedLines = 0;
        this.bufferedLines = [];
        this.bufferedLength = 0;
        this.writeAll(Buffer.from(text, "utf8"), 0);
    }

    private writeAll(data: Buffer, offset: number): void {
        this.isWriting = true;
        write(this.fileDescriptor, data, offset, data.length - offset, null, (err, bytesWritten) => {
            this.isWriting = false;
            // After a write error, such as a closed reader, the rest of this text is dropped. The error cannot be reported anywhere,
            // so the program continues without its log.
            if (err === null && offset + bytesWritten < data.length) this.writeAll(data, offset + bytesWritten);
            else this.writeBuffered();
        });
    }
}
