import { Clock } from "@vanillarouter/base/clock";
import { DecayingRate } from "./decayingRate";
import { divideFairly } from "./divideFairly";
import { MeasuredShares } from "./measuredShares";
import { SlotCount } from "./slotCount";

/** Time constant of the demand average used for entitlements and wait estimates, in milliseconds. */
const shortTimeConstantMs = 1_000;
/** Time constant of the demand average that ordinary shares follow, in milliseconds. */
const longTimeConstantMs = 10_000;
/** Time for which a class without a measured share is observed before the growth of its share is bounded, in milliseconds. */
const observationPeriodMs = 10_000;
/** Interval between updates of shares, in milliseconds. */
const updateIntervalMs = 1_000;
/** Factor on a class's demand when unclaimed slot time is divided, so that random peaks stay within the class's part. */
const unclaimedHeadroom = 2;
/** Interval between divisions of unclaimed slot time, in milliseconds. */
const entitlementIntervalMs = 50;
/** Exponential growth rate of a share per millisecond without an overload: doubles in 5 minutes. */
const ordinaryGrowthPerMs = Math.LN2 / 300_000;
/** Exponential growth rate of a share per millisecond during an overload: doubles in 6 hours. */
const overloadGrowthPerMs = Math.LN2 / 21_600_000;
/** Exponential decay rate of a share per millisecond: halves in a day, so that shares survive a night of low demand. */
const declinePerMs = Math.LN2 / 86_400_000;
/** Fraction of the slot time that all shares together may claim; the rest absorbs unusually long statements. */
const maxClaimedFraction = 0.95;
/** Share as a multiple of the mean demand. Without headroom, random variation would often put a class in excess of its share. */
const shareHeadroom = 1.25;
/** Minimum share of a class in use, as a fraction of the slot time. */
const minShareFraction = 0.01;
/** Time over which a class may accumulate credit from its share and from its part of the unclaimed slot time, in milliseconds. */
const shareBurstMs = 500;
const unclaimedBurstMs = 50;

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

interface ClassShare {
    readonly longTermDemand: DecayingRate;
    readonly shortTermDemand: DecayingRate;
    readonly startedAt: number;
    isMeasured: boolean;
    /** Ordinary demand with headroom, in slots (milliseconds of slot time per millisecond). */
    share: number;
    /** Slot time that the class may still use within its share, in milliseconds; negative if in excess. */
    credit: number;
    creditAt: number;
    /** Slots that the class is entitled to during an overload: its share and a part of the unclaimed slots. */
    entitlement: number;
}

/**
 * Measures each class's ordinary share of the slot time of one upstream, and tracks whether the class stays within it.
 *
 * A share grows only into slot time that no other share claims, so growth never reduces another class's share. Unclaimed
 * slot time is divided with max-min fairness among the demands in excess of their shares.
 */
export class OrdinaryShares {
    private readonly classes = new Map<string, ClassShare>();
    private updatedAt: number;
    private entitlementsUpdatedAt = -Infinity;

    private constructor(private readonly clock: Clock, private readonly slots: SlotCount) {
        this.updatedAt = clock.now();
    }

    /** `initial` holds shares that a previous owner measured. */
    public static create(clock: Clock, slots: SlotCount, initial?: MeasuredShares): OrdinaryShares {
        const shares = new OrdinaryShares(clock, slots);
        if (initial !== undefined) shares.importShares(initial);
        return shares;
    }

    /** Imports shares measured by a previous owner, for classes without a measured share here. */
    public importShares(measured: MeasuredShares): void {
        for (const [className, slotTime] of Object.entries(measured.slotTimeByClass)) {
            const classShare = this.getOrCreate(className);
            if (classShare.isMeasured) continue;
            classShare.isMeasured = true;
            classShare.share = Math.min(slotTime / 1000, this.claimableSlots);
        }
    }

    /** Records demand of `costMs` milliseconds of slot time, whether or not the request will be served. */
    public recordDemand(className: string, costMs: number): void {
        const now = this.clock.now();
        const classShare = this.getOrCreate(className);
        classShare.longTermDemand.add(costMs, now);
        classShare.shortTermDemand.add(costMs, now);
    }

    /** Current demand of a class, in slots. */
    public getDemand(className: string): number {
        return this.classes.get(className)?.shortTermDemand.read(this.clock.now()) ?? 0;
    }

    /** Slots that a class is entitled to during an overload. */
    public getEntitlement(className: string): number {
        this.updateEntitlements();
        return this.classes.get(className)?.entitlement ?? 0;
    }

    /** Remaining credit of a class as a fraction of its maximum credit: above 0 within its share, below 0 in excess of it. */
    public getCredit(className: string): number {
        const classShare = this.getOrCreate(className);
        this.accrueCredit(classShare);
        return classShare.credit / this.computeMaxCredit(classShare);
    }

    /** Slot time by which a class is in excess of its share, in milliseconds. */
    public getDebt(className: string): number {
        const classShare = this.getOrCreate(className);
        this.accrueCredit(classShare);
        return Math.max(0, -classShare.credit);
    }

    /** Charges a class for slot time, in milliseconds; a negative amount refunds an excessive charge. */
    public charge(className: string, costMs: number): void {
        const classShare = this.getOrCreate(className);
        this.accrueCredit(classShare);
        classShare.credit = Math.max(classShare.credit - costMs, -this.computeMaxCredit(classShare));
    }

    /** Adjusts shares towards demand. Called frequently, but has an effect at most once a second. */
    public update(isOverloaded: boolean): void {
        const now = this.clock.now();
        const elapsed = now - this.updatedAt;
        if (elapsed < updateIntervalMs) return;
        this.updatedAt = now;
        this.updateUnmeasuredShares(now);
        for (const classShare of this.classes.values()) {
            if (classShare.isMeasured) this.updateShare(classShare, now, elapsed, isOverloaded);
        }
    }

    /** Measured shares, in milliseconds of slot time per second. */
    public exportShares(): Readonly<Record<string, number>> {
        const measured = [...this.classes].filter(([, classShare]) => classShare.isMeasured);
        return Object.fromEntries(measured.map(([className, classShare]) => [className, classShare.share * 1000]));
    }

    private get claimableSlots(): number {
        return this.slots.count * maxClaimedFraction;
    }

    private getOrCreate(className: string): ClassShare {
        let classShare = this.classes.get(className);
        if (classShare !== undefined) return classShare;
        const now = this.clock.now();
        const longTermDemand = DecayingRate.create(longTimeConstantMs, now);
        const shortTermDemand = DecayingRate.create(shortTimeConstantMs, now);
        classShare = {
            longTermDemand,
            shortTermDemand,
            startedAt: now,
            isMeasured: false,
            share: 0,
            credit: 0,
            creditAt: now,
            entitlement: 0,
        };
        this.classes.set(className, classShare);
        this.entitlementsUpdatedAt = -Infinity;
        this.updateEntitlements();
        classShare.credit = this.computeMaxCredit(classShare);
        return classShare;
    }

    /** Divides the unclaimed slot time among the classes without a measured share, with max-min fairness. */
    private updateUnmeasuredShares(now: number): void {
        const unmeasured = [...this.classes.values()].filter(classShare => !classShare.isMeasured);
        if (unmeasured.length === 0) return;
        const unclaimed = this.computeUnclaimedSlots();
        const demands = unmeasured.map(classShare => classShare.longTermDemand.readCorrected(now));
        const total = sum(demands);
        // Headroom for one class must not displace the mean demand of another, unless demand far exceeds the capacity.
        const availableFactor = unclaimed / Math.max(total, Number.MIN_VALUE);
        const factor = availableFactor < 1 / shareHeadroom ? shareHeadroom : Math.min(shareHeadroom, Math.max(1, availableFactor));
        const parts = divideFairly(demands.map(demand => demand * factor), unclaimed);
        unmeasured.forEach((classShare, index) => {
            classShare.share = parts[index]!;
            classShare.isMeasured = now - classShare.startedAt >= observationPeriodMs;
        });
    }

    private updateShare(classShare: ClassShare, now: number, elapsed: number, isOverloaded: boolean): void {
        const demand = classShare.longTermDemand.read(now) * shareHeadroom;
        if (demand < classShare.share) {
            classShare.share = Math.max(demand, classShare.share * Math.exp(-declinePerMs * elapsed));
            return;
        }
        const growth = Math.exp((isOverloaded ? overloadGrowthPerMs : ordinaryGrowthPerMs) * elapsed);
        const grown = Math.max(classShare.share, this.slots.count * minShareFraction) * growth;
        classShare.share = Math.max(classShare.share, Math.min(demand, grown, classShare.share + this.computeUnclaimedSlots()));
    }

    private computeUnclaimedSlots(): number {
        let claimed = 0;
        for (const classShare of this.classes.values()) claimed += classShare.isMeasured ? classShare.share : 0;
        return Math.max(0, this.claimableSlots - claimed);
    }

    private updateEntitlements(): void {
        const now = this.clock.now();
        if (now - this.entitlementsUpdatedAt < entitlementIntervalMs) return;
        this.entitlementsUpdatedAt = now;
        const classShares = [...this.classes.values()];
        const bases = classShares.map(classShare => Math.max(classShare.share, this.slots.count * minShareFraction));
        const unclaimed = Math.max(0, this.claimableSlots - sum(bases));
        const parts = divideFairly(
            classShares.map((classShare, index) => Math.max(0, classShare.shortTermDemand.read(now) * unclaimedHeadroom - bases[index]!)),
            unclaimed,
        );
        const equalPart = (unclaimed - sum(parts)) / classShares.length;
        classShares.forEach((classShare, index) => classShare.entitlement = bases[index]! + parts[index]! + equalPart);
    }

    private computeMaxCredit(classShare: ClassShare): number {
        const claimed = Math.min(classShare.entitlement, Math.max(classShare.share, this.slots.count * minShareFraction));
        return claimed * shareBurstMs + (classShare.entitlement - claimed) * unclaimedBurstMs;
    }

    private accrueCredit(classShare: ClassShare): void {
        const now = this.clock.now();
        this.updateEntitlements();
        const credit = classShare.credit + classShare.entitlement * (now - classShare.creditAt);
        classShare.creditAt = now;
        classShare.credit = Math.min(credit, this.computeMaxCredit(classShare));
    }
}
