/** Time after which a status says nothing about the present load, in milliseconds. */
const statusLifetimeMs = 1_500;
/** With a smaller part, one long statement would hold up everything else of this VM. */
const minPart = 2;

/**
 * Decides how many statements this VM may run at once at an upstream whose slots it shares with other gateways, without
 * messages between these.
 *
 * It answers a flood in front of few slots: if each gateway used them as if it were alone, statements would queue at the
 * upstream, where they are neither ordered by rank nor refused in time. Each gateway may use an equal part of the slots. It may
 * use more, one at a time, as long as the upstream's status shows free slots, and returns to its part when there are none.
 * Without a recent status it may use twice its part, so that at most one statement waits at the upstream for each that runs.
 */
export class SlotQuota {
    private extraSlots = 0;
    private observedAt = Number.NEGATIVE_INFINITY;

    private constructor() {}

    public static create(): SlotQuota {
        return new SlotQuota();
    }

    /** Records a status of the upstream at the local time `now`: `busySlots` of its `slots` slots are in use by all VMs. */
    public observe(busySlots: number, slots: number, now: number): void {
        const change = busySlots < slots ? 1 : -1;
        this.extraSlots = Math.min(slots, Math.max(0, (this.findExtraSlots(now) ?? 0) + change));
        this.observedAt = now;
    }

    /** Returns the number of statements that this VM may run at once at an upstream of `slots` slots with `gateways` gateways. */
    public compute(slots: number, gateways: number, now: number): number {
        const equalPart = Math.max(minPart, Math.ceil(slots / Math.max(1, gateways)));
        return Math.min(slots, equalPart + (this.findExtraSlots(now) ?? equalPart));
    }

    /** Returns the slots beyond the equal part that recent statuses allow; undefined without one. */
    private findExtraSlots(now: number): number | undefined {
        return now - this.observedAt < statusLifetimeMs ? this.extraSlots : undefined;
    }
}
