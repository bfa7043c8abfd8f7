/** Blocks that are kept for reuse; more are left to the garbage collector. */
const maxFreeBlocks = 1_024;

/**
 * Reuses blocks of memory for incomplete messages. Memory that is reused at once does not wait for a garbage collection, so that
 * what a process holds for its peers stays close to what its limits count.
 */
export class BlockPool {
    /** Size of a block in bytes. */
    public static readonly blockBytes = 16_384;
    private static readonly freeBlocks: Buffer[] = [];

    private static joined = Buffer.allocUnsafeSlow(0);

    private constructor() {}

    /** Lends memory of at least `length` bytes in which blocks are joined, until the next call. */
    public static lendJoined(length: number): Buffer {
        if (BlockPool.joined.length < length) BlockPool.joined = Buffer.allocUnsafeSlow(Math.ceil(length / BlockPool.blockBytes) * BlockPool.blockBytes);
        return BlockPool.joined;
    }

    public static take(): Buffer {
        return BlockPool.freeBlocks.pop() ?? Buffer.allocUnsafeSlow(BlockPool.blockBytes);
    }

    public static giveBack(blocks: readonly Buffer[]): void {
        for (const block of blocks) {
            if (BlockPool.freeBlocks.length >= maxFreeBlocks) return;
            BlockPool.freeBlocks.push(block);
        }
    }
}
