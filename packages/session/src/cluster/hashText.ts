const fnvOffsetBasis = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** Returns a 32-bit hash: FNV-1a followed by the finalizer of MurmurHash3, which also spreads texts that differ only at their end. */
export function hashText(text: string): number {
    let hash = fnvOffsetBasis;
    for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
