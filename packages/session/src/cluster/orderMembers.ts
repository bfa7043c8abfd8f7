import { MemberEntry } from "../model/memberEntry";
import { hashText } from "./hashText";

const hashRange = 2 ** 32;

/**
 * Orders VMs by weighted rendezvous hashing with `hashKey`, alternating between zones. All VMs with the same list get the same
 * order, and a VM that joins or leaves does not change the order of the others within their zones. Over many keys, a VM comes
 * first in its zone as often as its part of the zone's weight.
 */
export function orderMembers(hashKey: string, members: readonly MemberEntry[], weigh: (member: MemberEntry) => number = () => 1): readonly MemberEntry[] {
    const scored = members.map(member => ({ member, score: computeScore(hashText(`${hashKey} ${member.id}`), weigh(member)) }));
    scored.sort((first, second) => first.score - second.score || (first.member.id < second.member.id ? -1 : 1));
    const zones = new Map<string, MemberEntry[]>();
    for (const { member } of scored) {
        const zone = zones.get(member.zone);
        if (zone === undefined) zones.set(member.zone, [member]);
        else zone.push(member);
    }
    const queues = [...zones.values()];
    const ordered: MemberEntry[] = [];
    for (let turn = 0; ordered.length < members.length; turn++) ordered.push(...queues.flatMap(queue => queue[turn] ?? []));
    return ordered;
}

/** Returns an exponentially distributed score whose rate is the weight, so that the lowest score falls to each VM in proportion to its weight. */
function computeScore(hash: number, weight: number): number {
    return -Math.log((hash + 1) / hashRange) / weight;
}
