import { Rank } from "@vanillarouter/base/rank";
import { OrdinaryShares } from "./ordinaryShares";
import { OverloadMonitor } from "./overloadMonitor";
import { ScheduledClass } from "./scheduledClass";
import { SlotTicket } from "./slotTicket";

const rankOrder: Readonly<Record<Rank, number>> = { [Rank.Urgent]: 0, [Rank.Standard]: 1, [Rank.Background]: 2 };

const inExcessLevel = 2;
/**
 * Credit below which a class is near the limit of its share. A surging class of a high rank soon reaches this level, and
 * must not spend the rest of its credit ahead of the ordinary work of lower ranks.
 */
const nearLimitCredit = 0.5;

/**
 * Orders classes of work. Without an overload, the order is by rank. During an overload, classes within their ordinary
 * share precede classes in excess of theirs. Urgent work counts as within its share as long as total urgent demand fits
 * the upstream's capacity, because urgent targets must then be met whatever else arrives.
 */
export class ClassPriority {
    private constructor(private readonly shares: OrdinaryShares, private readonly overload: OverloadMonitor) {}

    public static create(shares: OrdinaryShares, overload: OverloadMonitor): ClassPriority {
        return new ClassPriority(shares, overload);
    }

    /** Whether a class is currently limited to its ordinary share. */
    public isShareLimited(workClass: ScheduledClass): boolean {
        return this.overload.isOverloaded && (workClass.rank !== Rank.Urgent || this.overload.isUrgentOverloaded);
    }

    /** 0: not limited, or well within its ordinary share; 1: near the limit of the share; 2: in excess of it. */
    public getShareLevel(workClass: ScheduledClass): number {
        if (!this.isShareLimited(workClass)) return 0;
        const credit = this.shares.getCredit(workClass.name);
        if (credit <= 0) return inExcessLevel;
        return credit < nearLimitCredit ? 1 : 0;
    }

    public isInExcess(workClass: ScheduledClass): boolean {
        return this.getShareLevel(workClass) === inExcessLevel;
    }

    /**
     * Remaining credit, by which classes of the same rank are ordered during an overload: a surging class has less than an
     * ordinary one.
     */
    public getCredit(workClass: ScheduledClass): number {
        return this.isShareLimited(workClass) ? this.shares.getCredit(workClass.name) : 0;
    }

    /** Negative if the first class precedes the second, positive if it follows it, 0 if neither. */
    public compare(first: ScheduledClass, second: ScheduledClass): number {
        return this.getShareLevel(first) - this.getShareLevel(second) || this.compareRanks(first, second);
    }

    public compareRanks(first: ScheduledClass, second: ScheduledClass): number {
        return rankOrder[first.rank] - rankOrder[second.rank];
    }

    public precedes(first: SlotTicket, firstClass: ScheduledClass, second: SlotTicket, secondClass: ScheduledClass): boolean {
        const byClass = this.compare(firstClass, secondClass);
        if (byClass !== 0) return byClass < 0;
        if (first.req.continuesWork !== second.req.continuesWork) return first.req.continuesWork;
        const byCredit = this.getCredit(firstClass) - this.getCredit(secondClass);
        return byCredit !== 0 ? byCredit > 0 : first.req.deadline < second.req.deadline;
    }
}
