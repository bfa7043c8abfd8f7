import { hashText } from "../cluster/hashText";
import { orderMembers } from "../cluster/orderMembers";
import { MemberEntry } from "../model/memberEntry";

/** One VM in this many keeps quotas, so that an entry VM needs links to few others. */
const membersPerKeeper = 8;
const minKeepers = 6;
const hashKey = "quota keepers";

/**
 * Chooses the keepers of the parts of all tenants from one list of members. Lists with the same members give the same keepers. The
 * parts of a tenant are spread over the zones, so that each side of a divided network reaches some of them, and a VM that joins or
 * leaves changes the keepers of few parts.
 */
export class KeeperChoice {
    private readonly keepersByZone: readonly (readonly MemberEntry[])[];
    private readonly keepersByPart = new Map<string, MemberEntry | undefined>();

    private constructor(members: readonly MemberEntry[]) {
        const count = Math.max(minKeepers, Math.ceil(members.length / membersPerKeeper));
        const keepers = orderMembers(hashKey, members).slice(0, count);
        const zones = [...new Set(keepers.map(({ zone }) => zone))].sort();
        this.keepersByZone = zones.map(zone => keepers.filter(keeper => keeper.zone === zone));
    }

    public static create(members: readonly MemberEntry[]): KeeperChoice {
        return new KeeperChoice(members);
    }

    /** Returns the keeper of a part; undefined without members. */
    public findKeeper(tenant: string, part: number): MemberEntry | undefined {
        const key = `${tenant} ${part}`;
        if (!this.keepersByPart.has(key)) this.keepersByPart.set(key, this.chooseKeeper(tenant, part, key));
        return this.keepersByPart.get(key);
    }

    private chooseKeeper(tenant: string, part: number, key: string): MemberEntry | undefined {
        const { keepersByZone } = this;
        const candidates = keepersByZone[(hashText(tenant) + part) % Math.max(1, keepersByZone.length)];
        return candidates === undefined ? undefined : orderMembers(key, candidates)[0];
    }
}
