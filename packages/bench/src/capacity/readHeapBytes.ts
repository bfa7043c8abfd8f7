import { collectGarbage } from "./collectGarbage";

/** Returns the bytes in use on the heap and in buffers after a garbage collection. */
export function readHeapBytes(): number {
    collectGarbage();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
}
