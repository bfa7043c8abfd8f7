import { hashName } from "@vanillarouter/platform/hashName";
import { mixHashes } from "./mixHashes";

function measureCommonPrefix(first: string, second: string): number {
    let length = 0;
    while (length < first.length && first[length] === second[length]) length++;
    return length;
}

/**
 * Orders zones by distance from a given zone: that zone first, then by the length of the name prefix they share with it,
 * longest first, because zones of one region share a prefix. Zones with prefixes of equal length are ordered by a hash of
 * both names. Every VM computes the same order.
 */
export function orderZones(from: string, zones: readonly string[]): readonly string[] {
    const hash = hashName(from);
    const distance = (zone: string): number => zone === from ? -Infinity : -measureCommonPrefix(from, zone);
    return [...zones].sort((first, second) => distance(first) - distance(second) || mixHashes(hash, hashName(first)) - mixHashes(hash, hashName(second)));
}
