/** Returns the 32-bit FNV-1a hash of a name's UTF-16 code units, the same on every VM. */
export function hashName(name: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < name.length; index++) {
        hash = Math.imul(hash ^ name.charCodeAt(index), 0x01000193);
    }
    return hash >>> 0;
}
