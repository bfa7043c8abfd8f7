import { hashText } from "../cluster/hashText";
import { KeeperHealth } from "./keeperHealth";
import { KeeperRoster } from "./keeperRoster";
import { KeptPart } from "./keptPart";
import { QuotaLimits } from "./quotaLimits";

/** Bounds the memory of keepers that have changed. Blocks that are forgotten cost a message each. */
const maxBlockedParts = 4 * QuotaLimits.maxParts;

/**
 * The parts of one tenant in the order in which this VM asks for tokens: first those that it keeps itself, then those in its zone. The VMs
 * of a zone have different orders, so that they do not all empty the same part first. A part without tokens is left out until its
 * keeper expects one, and a keeper that did not respond for a moment.
 */
export class PartOrder {
    /** Local time in milliseconds before which a part is not asked for, by the keeper and the part. */
    private readonly emptyUntil = new Map<string, number>();

    private constructor(private readonly tenant: string, private readonly roster: KeeperRoster, private readonly health: KeeperHealth) {}

    public static create(tenant: string, roster: KeeperRoster, health: KeeperHealth): PartOrder {
        return new PartOrder(tenant, roster, health);
    }

    /** Returns the part to ask for first; undefined if no part can be asked for now. */
    public findFirst(parts: number, now: number): KeptPart | undefined {
        const usable = this.list(parts).filter(kept => this.getBlockedUntil(kept) <= now);
        const ranks = new Map(usable.map(kept => [kept, this.computeRank(kept)]));
        return usable.sort((first, second) => ranks.get(first)! - ranks.get(second)!)[0];
    }

    /** Returns the local time in milliseconds from which a part can be asked for; infinite if no VM keeps one. */
    public computeNextAt(parts: number): number {
        return Math.min(...this.list(parts).map(kept => this.getBlockedUntil(kept)));
    }

    /** Leaves out a part until a local time in milliseconds. */
    public block({ part, keeper }: KeptPart, until: number): void {
        if (this.emptyUntil.size >= maxBlockedParts) this.emptyUntil.clear();
        this.emptyUntil.set(`${part} ${keeper.id}`, until);
    }

    private list(parts: number): KeptPart[] {
        return Array.from({ length: parts }, (_, part) => ({ part, keeper: this.roster.findKeeper(this.tenant, part) }))
            .filter((kept): kept is KeptPart => kept.keeper !== undefined);
    }

    private getBlockedUntil({ part, keeper }: KeptPart): number {
        return Math.max(this.emptyUntil.get(`${part} ${keeper.id}`) ?? Number.NEGATIVE_INFINITY, this.health.getAvoidedUntil(keeper.id));
    }

    /** Returns a number that is below 1 for parts of this VM, below 2 in its zone and below 3 elsewhere. */
    private computeRank({ part, keeper }: KeptPart): number {
        const { self } = this.roster;
        const distance = keeper.id === self?.id ? 0 : keeper.zone === self?.zone ? 1 : 2;
        return distance + hashText(`${self?.id} ${part}`) / 2 ** 32;
    }
}
