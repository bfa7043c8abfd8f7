import { BlockPool } from "./blockPool";

/** A text that arrives in pieces, as Latin-1 bytes in blocks of the pool. Appending copies each byte once, whatever the size of the pieces. */
export class BlockText {
    private blocks: Buffer[] = [];
    private byteCount = 0;

    private constructor() {}

    public static create(): BlockText {
        return new BlockText();
    }

    public get length(): number {
        return this.byteCount;
    }

    /** Bytes of memory that the text occupies. */
    public get heldBytes(): number {
        return this.blocks.length * BlockPool.blockBytes;
    }

    /** The last byte; undefined if the text is empty. */
    public get lastByte(): number | undefined {
        return this.byteCount === 0 ? undefined : this.blocks.at(-1)![(this.byteCount - 1) % BlockPool.blockBytes];
    }

    public append(source: Buffer, start: number, end: number): void {
        for (let position = start; position < end;) {
            const offset = this.byteCount % BlockPool.blockBytes;
            if (offset === 0) this.blocks.push(BlockPool.take());
            const copied = source.copy(this.blocks.at(-1)!, offset, position, Math.min(end, position + BlockPool.blockBytes - offset));
            position += copied;
            this.byteCount += copied;
        }
    }

    /** Removes the last byte. */
    public dropLastByte(): void {
        this.byteCount--;
        if (this.byteCount % BlockPool.blockBytes === 0) BlockPool.giveBack([this.blocks.pop()!]);
    }

    /** Returns the text as a new object. This one is empty then. */
    public moveToNew(): BlockText {
        const moved = new BlockText();
        moved.blocks = this.blocks;
        moved.byteCount = this.byteCount;
        this.blocks = [];
        this.byteCount = 0;
        return moved;
    }

    /** Returns the text and gives its memory back. */
    public take(): string {
        if (this.byteCount === 0) return "";
        let joined = this.blocks[0]!;
        if (this.blocks.length > 1) {
            joined = BlockPool.lendJoined(this.byteCount);
            this.blocks.forEach((block, index) => block.copy(joined, index * BlockPool.blockBytes));
        }
        const text = joined.toString("latin1", 0, this.byteCount);
        this.clear();
        return text;
    }

    /** Gives the memory back. */
    public clear(): void {
        BlockPool.giveBack(this.blocks);
        this.blocks.length = 0;
        this.byteCount = 0;
    }
}
