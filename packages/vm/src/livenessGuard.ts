import { Clock } from "@vanillarouter/base/clock";

/** Time after which a VM that nobody answers takes itself for the only one and uses its roles again. */
const renewalLimitMs = 1_000;

/**
 * Tells whether this VM may use its roles. After a gap in its own clock it may not until another member has confirmed
 * it: others may have declared it dead and taken its roles over. The check compares the clock at the moment of use, so it
 * holds even if a request is handled before the timers that fell due during the gap.
 */
export class LivenessGuard {
    private lastWakeAt: number;
    private renewalSince: number | undefined;

    private constructor(private readonly clock: Clock, private readonly gapLimitMs: number) {
        this.lastWakeAt = clock.now();
        this.renewalSince = clock.now();
    }

    /** Makes a guard of a VM that has not joined yet. */
    public static create(clock: Clock, gapLimitMs: number): LivenessGuard {
        return new LivenessGuard(clock, gapLimitMs);
    }

    public get isRenewing(): boolean {
        return this.renewalSince !== undefined;
    }

    /** Notes that the membership task runs. Returns whether it had been stopped for too long. */
    public noteWake(): boolean {
        const now = this.clock.now();
        const hadGap = now - this.lastWakeAt > this.gapLimitMs;
        this.lastWakeAt = now;
        if (hadGap) this.beginRenewal();
        else if (this.renewalSince !== undefined && now - this.renewalSince >= renewalLimitMs) this.endRenewal();
        return hadGap;
    }

    public beginRenewal(): void {
        this.renewalSince = this.clock.now();
    }

    public endRenewal(): void {
        this.renewalSince = undefined;
    }

    /** Whether roles may be used now. */
    public mayUseRoles(): boolean {
        return this.renewalSince === undefined && this.clock.now() - this.lastWakeAt <= this.gapLimitMs;
    }
}
