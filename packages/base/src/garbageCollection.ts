import { getHeapStatistics, setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/**
 * Above this fraction of the heap limit, V8 collects often on its own. It ends a process in which many collections follow each other
 * near the limit, whoever asked for them.
 */
const maxUsedHeapFraction = 0.5;

/**
 * Limits the garbage of the process. V8 lets the memory of buffers and long strings grow by more than a small VM has before it
 * collects them on its own, because they count little towards the size of its heap.
 */
export class GarbageCollection {
    private static maxGarbageBytes = Infinity;
    private static garbageBytes = 0;
    private static runCollector: (() => void) | undefined;

    private constructor() {}

    /** From now on, garbage is collected whenever `maxBytes` bytes have been recorded. */
    public static limitGarbage(maxBytes: number): void {
        GarbageCollection.maxGarbageBytes = maxBytes;
    }

    /** Records memory of a large message that is garbage soon. May run a full collection, which takes some milliseconds for each 10 MB of live objects. */
    public static record(bytes: number): void {
        GarbageCollection.garbageBytes += bytes;
        if (GarbageCollection.garbageBytes < GarbageCollection.maxGarbageBytes) return;
        GarbageCollection.garbageBytes = 0;
        const { used_heap_size: usedBytes, heap_size_limit: limitBytes } = getHeapStatistics();
        if (usedBytes > limitBytes * maxUsedHeapFraction) return;
        if (GarbageCollection.runCollector === undefined) {
            setFlagsFromString("--expose-gc");
            GarbageCollection.runCollector = runInNewContext("gc") as () => void;
        }
        GarbageCollection.runCollector();
    }
}
