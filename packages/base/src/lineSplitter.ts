import { BlockPool } from "./blockPool";
import { BlockText } from "./blockText";

const terminator = "\r\n";
const carriageReturn = 13;
const lineFeed = 10;

/** Splits bytes that arrive in pieces into lines terminated by CR LF. A long line that came in pieces stays in its blocks. */
export class LineSplitter {
    private readonly partialLine = BlockText.create();
    private isStopped = false;

    private constructor(private readonly onLine: (line: string | BlockText) => void) {}

    /** `onLine` is called with each complete line, without its terminator. */
    public static create(onLine: (line: string | BlockText) => void): LineSplitter {
        return new LineSplitter(onLine);
    }

    /** Length of the incomplete line in bytes. */
    public get partialLength(): number {
        return this.partialLine.length;
    }

    /** Memory that the incomplete line occupies, in bytes. */
    public get heldBytes(): number {
        return this.partialLine.heldBytes;
    }

    public push(data: Buffer): void {
        const start = this.partialLine.length === 0 ? 0 : this.completePartialLine(data);
        if (start < data.length) this.splitWholeLines(data, start);
    }

    /** Drops the incomplete line, and what is pushed from now on. May be called by `onLine`. */
    public stop(): void {
        this.isStopped = true;
        this.partialLine.clear();
    }

    /** Completes the partial line if its end has arrived. Returns how many bytes of `data` belonged to it. */
    private completePartialLine(data: Buffer): number {
        const isSplitTerminator = data[0] === lineFeed && this.partialLine.lastByte === carriageReturn;
        const end = isSplitTerminator ? 0 : data.indexOf(terminator, 0, "latin1");
        this.partialLine.append(data, 0, end < 0 ? data.length : end);
        if (end < 0) return data.length;
        if (isSplitTerminator) this.partialLine.dropLastByte();
        this.onLine(this.partialLine.length < BlockPool.blockBytes ? this.partialLine.take() : this.partialLine.moveToNew());
        return isSplitTerminator ? 1 : end + terminator.length;
    }

    private splitWholeLines(data: Buffer, dataStart: number): void {
        const text = data.toString("latin1", dataStart);
        let start = 0;
        for (let end = text.indexOf(terminator); end >= 0 && !this.isStopped; end = text.indexOf(terminator, start)) {
            const line = text.slice(start, end);
            start = end + terminator.length;
            this.onLine(line);
        }
        if (!this.isStopped && dataStart + start < data.length) this.partialLine.append(data, dataStart + start, data.length);
    }
}
