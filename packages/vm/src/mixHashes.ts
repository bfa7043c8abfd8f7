/** Combines two 32-bit hashes into one in which every bit depends on all bits of both inputs. */
export function mixHashes(first: number, second: number): number {
    let hash = (first ^ Math.imul(second, 0x9e3779b1)) >>> 0;
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
