import { hashName } from "@vanillarouter/platform/hashName";
import { Member } from "./member";
import { mixHashes } from "./mixHashes";

/** Number of neighbours to which a VM forwards updates. */
const neighbourCount = 4;

/**
 * Returns the members of a zone to which a VM forwards updates: its successor on the ring of ids, so that every member is
 * reached, and others at pseudo-random distances, so that few hops are needed. The selection changes only with the
 * membership, so links can stay open.
 */
export function findNeighbours(selfId: string, members: readonly Member[]): readonly Member[] {
    const ring = [...members].sort((first, second) => first.vm.id < second.vm.id ? -1 : 1);
    const selfIndex = ring.findIndex(member => member.vm.id === selfId);
    if (selfIndex < 0) return ring.slice(0, neighbourCount);
    const neighbours = new Set<Member>();
    const others = ring.length - 1;
    // Distances can coincide, so more steps than neighbours may be needed.
    for (let step = 0; step < 3 * neighbourCount && neighbours.size < Math.min(neighbourCount, others); step++) {
        const distance = step === 0 ? 0 : mixHashes(hashName(selfId), step) % others;
        neighbours.add(ring[(selfIndex + 1 + distance) % ring.length]!);
    }
    return [...neighbours];
}
