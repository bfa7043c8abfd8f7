import { Clock } from "@vanillarouter/base/clock";
import { hashName } from "@vanillarouter/platform/hashName";
import { Member } from "./member";
import { MemberState } from "./memberState";
import { MemberUpdate } from "./memberUpdate";
import { mixHashes } from "./mixHashes";

interface Zone {
    readonly members: Map<string, Member>;
    digest: number;
    version: number;
    /** Members that may hold roles; undefined after a change. */
    eligible: readonly Member[] | undefined;
    /** Members that are not dead; undefined after a change. */
    live: readonly Member[] | undefined;
}

/** Dead members are retained so that a delayed message does not add them again as alive. */
const deadRetentionMs = 3_600_000;

/** All members by zone. Merging is independent of order, so tables that have merged the same updates are equal. */
export class MemberTable {
    private readonly zones = new Map<string, Zone>();
    private readonly zoneById = new Map<string, string>();
    private sortedIds: readonly string[] | undefined;
    private readonly listeners = new Set<(member: Member, before: Member | undefined) => void>();

    private constructor(private readonly clock: Clock) {}

    public static create(clock: Clock): MemberTable {
        return new MemberTable(clock);
    }

    public get size(): number {
        return this.zoneById.size;
    }

    public get zoneNames(): readonly string[] {
        return [...this.zones.keys()].sort();
    }

    /** Calls the listener after each change of a member. */
    public onChange(listener: (member: Member, before: Member | undefined) => void): void {
        this.listeners.add(listener);
    }

    public find(id: string): Member | undefined {
        const zone = this.zoneById.get(id);
        return zone === undefined ? undefined : this.zones.get(zone)?.members.get(id);
    }

    /** Applies an update if it supersedes the known state of the member; returns whether it did. */
    public merge(update: MemberUpdate): boolean {
        const before = this.find(update.vm.id);
        if (before !== undefined && !supersedes(update, before)) return false;
        if (before === undefined && update.state === MemberState.Dead) return false;
        if (before !== undefined && before.vm.zone !== update.vm.zone) this.remove(before);
        const member: Member = { vm: update.vm, state: update.state, idHash: before?.idHash ?? hashName(update.vm.id), stateSince: this.clock.now() };
        const zone = this.getOrCreateZone(update.vm.zone);
        if (before !== undefined && before.vm.zone === update.vm.zone) zone.digest ^= hashMember(before);
        zone.digest ^= hashMember(member);
        zone.members.set(update.vm.id, member);
        this.zoneById.set(update.vm.id, update.vm.zone);
        zone.version++;
        zone.eligible = undefined;
        zone.live = undefined;
        this.sortedIds = undefined;
        for (const listener of this.listeners) listener(member, before);
        return true;
    }

    /** Resets `stateSince` of a member to the current time without changing its state. */
    public resetStateSince(id: string): void {
        const member = this.find(id);
        if (member === undefined) return;
        const zone = this.getOrCreateZone(member.vm.zone);
        zone.members.set(id, { ...member, stateSince: this.clock.now() });
        zone.eligible = undefined;
        zone.live = undefined;
    }

    /** Returns the members of a zone, including dead ones. */
    public listZone(zone: string): readonly Member[] {
        return [...this.zones.get(zone)?.members.values() ?? []];
    }

    /** Returns the members of a zone that may hold roles, which are neither dead nor leaving, ordered by id. */
    public listEligible(zone: string): readonly Member[] {
        const known = this.zones.get(zone);
        if (known === undefined) return [];
        known.eligible ??= [...known.members.values()].filter(isEligible).sort((first, second) => first.vm.id < second.vm.id ? -1 : 1);
        return known.eligible;
    }

    /** Returns the members of a zone that are not dead. */
    public listLive(zone: string): readonly Member[] {
        const known = this.zones.get(zone);
        if (known === undefined) return [];
        known.live ??= [...known.members.values()].filter(member => member.state !== MemberState.Dead);
        return known.live;
    }

    /** Returns up to `limit` members of all zones whose ids follow `id`, ordered by id. */
    public listAfter(id: string, limit: number): readonly Member[] {
        this.sortedIds ??= [...this.zoneById.keys()].sort();
        const ids = this.sortedIds;
        let low = 0;
        let high = ids.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (ids[middle]! > id) high = middle;
            else low = middle + 1;
        }
        return ids.slice(low, low + limit).map(next => this.find(next)!);
    }

    /** Returns a number that increases with every change in the zone. */
    public readVersion(zone: string): number {
        return this.zones.get(zone)?.version ?? 0;
    }

    /** Returns a digest that is equal on two VMs with the same view of the zone. */
    public readDigest(zone: string): number {
        return (this.zones.get(zone)?.digest ?? 0) >>> 0;
    }

    /** Removes members that have been dead for longer than the retention time. */
    public removeExpired(): void {
        const diedBefore = this.clock.now() - deadRetentionMs;
        for (const zone of this.zones.values()) {
            for (const member of zone.members.values()) {
                if (member.state === MemberState.Dead && member.stateSince < diedBefore) this.remove(member);
            }
        }
    }

    private remove(member: Member): void {
        const zone = this.zones.get(member.vm.zone);
        if (zone === undefined || !zone.members.delete(member.vm.id)) return;
        zone.digest ^= hashMember(member);
        zone.version++;
        zone.eligible = undefined;
        zone.live = undefined;
        this.sortedIds = undefined;
        this.zoneById.delete(member.vm.id);
    }

    private getOrCreateZone(name: string): Zone {
        let zone = this.zones.get(name);
        if (zone === undefined) {
            zone = { members: new Map(), digest: 0, version: 0, eligible: undefined, live: undefined };
            this.zones.set(name, zone);
        }
        return zone;
    }
}

function supersedes(update: MemberUpdate, known: Member): boolean {
    if (update.vm.incarnation !== known.vm.incarnation) return update.vm.incarnation > known.vm.incarnation;
    return update.state > known.state;
}

function isEligible(member: Member): boolean {
    return member.state !== MemberState.Dead && !member.vm.leaving;
}

/** Dead members hash like unknown ones. Suspicion is ignored because it is temporary and must not make two tables differ. */
function hashMember(member: Member): number {
    return member.state === MemberState.Dead ? 0 : mixHashes(member.idHash, member.vm.incarnation);
}
