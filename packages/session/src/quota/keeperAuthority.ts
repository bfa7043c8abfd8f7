import { Clock } from "@vanillarouter/base/clock";
import { ClockReading } from "../freshness/clockReading";
import { SuspensionDetector } from "../freshness/suspensionDetector";
import { QuotaLimits } from "./quotaLimits";

/** A VM that did not run for this time was frozen, and what it knows of the other VMs may be outdated. */
const maxPauseMs = 1_500;

/**
 * Decides whether this VM may grant tokens of the parts that it keeps. It answers VMs that are cut off, frozen or restarted while
 * others go on without them: a keeper grants only while its own entry is surely in the member list, so that no other VM has taken its
 * parts, and after a gap only when all VMs have heard of it again.
 */
export class KeeperAuthority {
    /** Whether the configuration has tenants. Set by the keeper. */
    public isNeeded = false;
    private renewal: { readonly sentAt: ClockReading; readonly era: number; } | undefined;
    private heldBackUntil = Number.NEGATIVE_INFINITY;
    private beganAt = Number.POSITIVE_INFINITY;
    /** Local time at which this VM's entry was written although none had been listed. */
    private enteredAt = Number.NEGATIVE_INFINITY;
    /** Whether no other VM can have kept quotas when this one entered; undefined before the list has been read. */
    private isNewInstallation: boolean | undefined;
    private aliveAt: number;
    private generation: number;
    private holdBacks = 0;
    private isLeaving = false;

    private constructor(private readonly clock: Clock, private readonly suspension: SuspensionDetector, private readonly readEra: () => number) {
        this.aliveAt = clock.now();
        this.generation = suspension.check();
    }

    /** `readEra` returns the latest era of the store: registrations of another era may have been lost with it. */
    public static create(clock: Clock, suspension: SuspensionDetector, readEra: () => number): KeeperAuthority {
        return new KeeperAuthority(clock, suspension, readEra);
    }

    /** Local time in milliseconds until which this VM's entry is surely in the member list. */
    public get registeredUntil(): number {
        const { renewal } = this;
        if (renewal === undefined || renewal.era !== this.readEra() || renewal.sentAt.generation !== this.suspension.check()) return Number.NEGATIVE_INFINITY;
        return renewal.sentAt.at + QuotaLimits.registrationMs;
    }

    /** Whether this VM may grant tokens now. */
    public get isGranting(): boolean {
        this.recordAlive();
        const now = this.clock.now();
        return !this.isLeaving && now >= this.grantsFrom && now < this.registeredUntil;
    }

    /** Whether all other VMs have known this VM for so long that it may grant at once after a restart, if that is of use. */
    public get isSettled(): boolean {
        return this.isNeeded && this.isGranting;
    }

    /** Local time in milliseconds before which this VM may not grant, even while it is registered. Its buckets are empty then. */
    public get grantsFrom(): number {
        const delayMs = this.isNewInstallation === true ? QuotaLimits.takeoverDelayMs : QuotaLimits.settledTakeoverDelayMs;
        return Math.max(this.beganAt, this.heldBackUntil, this.enteredAt + delayMs);
    }

    /** A number that changes whenever other VMs may have granted this VM's parts, so that its buckets have to be started again. */
    public get epoch(): number {
        return this.holdBacks;
    }

    /** Dates a call to the store that is about to be sent. */
    public readClock(): ClockReading {
        return this.suspension.readClock();
    }

    /** Records that the store renewed the lease of this VM's entry. */
    public recordRenewal(sentAt: ClockReading, era: number): void {
        this.beganAt = Math.min(this.beganAt, this.clock.now());
        this.renewal = { sentAt, era };
    }

    /** Records that this VM's entry was written. `wasListed` says that it replaced an entry of this VM, so that none has been missing. */
    public recordRegistration(sentAt: ClockReading, era: number, wasListed: boolean): void {
        const now = this.clock.now();
        const isGapShort = this.renewal !== undefined && now - this.renewal.sentAt.at <= QuotaLimits.maxGapMs;
        if (!wasListed && !isGapShort) {
            this.holdBacks++;
            this.enteredAt = now;
            if (this.renewal !== undefined) this.isNewInstallation = false;
        }
        this.recordRenewal(sentAt, era);
    }

    /** Records the first member list that this VM has read. Later calls have no effect. */
    public recordFirstList(hasSettledMembers: boolean): void {
        this.isNewInstallation ??= !hasSettledMembers;
    }

    /** Records that this VM is running. Must be called several times a second. */
    public recordAlive(): void {
        const now = this.clock.now();
        const generation = this.suspension.check();
        const wasFrozen = generation !== this.generation || now - this.aliveAt > maxPauseMs;
        this.generation = generation;
        this.aliveAt = now;
        // Its list may lack all changes of the time in which it was frozen.
        if (wasFrozen) this.holdBack(now + QuotaLimits.maxListLagMs);
    }

    /** Stops granting for good. Called before the other VMs are told that this one leaves. */
    public leave(): void {
        this.isLeaving = true;
    }

    private holdBack(until: number): void {
        this.holdBacks++;
        this.heldBackUntil = Math.max(this.heldBackUntil, until);
    }
}
