/** Time in which the weight of a status halves. A slot is handed on to other statements within some 5 to 26 ms. */
const halfLifeMs = 15;
/** Largest part of a status that counts. The VMs that get the same news all act on it, so each takes its part of the difference at most. */
const maxNewsPart = 0.25;

/**
 * Estimates the slots of an upstream that other VMs use.
 *
 * It answers VMs that choose at the same moment by outdated statuses, which overloads the upstreams in turn while others are idle: a status counts for a
 * part only, and for less the older it is. Beyond that, the other VMs are expected to send an upstream as much work as this VM does.
 */
export class OthersLoad {
    private othersBusy = 0;
    private observedAt = Number.NEGATIVE_INFINITY;

    private constructor() {}

    public static create(): OthersLoad {
        return new OthersLoad();
    }

    /** Records a status at the local time `now`: `busySlots` of `slots` slots are in use, `ownRunning` of them by this VM. */
    public observe(busySlots: number, slots: number, ownRunning: number, now: number): void {
        if (!(busySlots >= 0)) return;
        this.othersBusy = Math.max(0, Math.min(busySlots, slots) - ownRunning);
        this.observedAt = now;
    }

    /** Returns the slots that the other ones of `vmCount` VMs are expected to use, if this VM has `ownInFlight` statements there. */
    public estimate(ownInFlight: number, vmCount: number, now: number): number {
        const newsWeight = Math.min(maxNewsPart, 1 / vmCount) * 0.5 ** ((now - this.observedAt) / halfLifeMs);
        return (vmCount > 1 ? ownInFlight : 0) + this.othersBusy * newsWeight;
    }

    /** Returns the age of the latest status in milliseconds; undefined if there was none. */
    public computeAgeMs(now: number): number | undefined {
        return this.observedAt === Number.NEGATIVE_INFINITY ? undefined : now - this.observedAt;
    }
}
