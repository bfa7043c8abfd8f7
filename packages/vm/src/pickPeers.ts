import { RandomSource } from "@vanillarouter/base/randomSource";
import { VmDescription } from "@vanillarouter/base/vmDescription";
import { Member } from "./member";

/** Picks up to `count` distinct random members that are not excluded. Takes constant time in a large zone. */
export function pickPeers(members: readonly Member[], random: RandomSource, count: number, excluded: readonly string[]): readonly VmDescription[] {
    const peers = new Map<string, VmDescription>();
    const isLarge = members.length - excluded.length > 2 * count;
    const start = Math.floor(random.next() * members.length);
    for (let step = 0; step < members.length && peers.size < count; step++) {
        const index = isLarge ? Math.floor(random.next() * members.length) : (start + step) % members.length;
        const { vm } = members[index]!;
        if (!excluded.includes(vm.id)) peers.set(vm.id, vm);
    }
    return [...peers.values()];
}
