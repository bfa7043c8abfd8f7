import { Clock } from "@vanillarouter/base/clock";

/** Time after which a VM that receives no response assumes that it is the only member and uses its roles again. */
const renewalTimeoutMs = 1_000;

/**
 * Decides whether this VM may use its roles. After a pause of its process it may not use them until another member has
 * confirmed its membership, because others may have declared it dead and taken over its roles. The check reads the clock at the
 * time of use, so it is correct even if a request is handled before the timers that came due during the pause.
 */
export class LivenessGuard {
    private lastWakeupAt: number;
    private renewalStartedAt: number | undefined;

    private constructor(private readonly clock: Clock, private readonly maxPauseMs: number) {
        this.lastWakeupAt = clock.now();
        this.renewalStartedAt = clock.now();
    }

    /** Creates the guard for a VM that has not joined yet. */
    public static create(clock: Clock, maxPauseMs: number): LivenessGuard {
        return new LivenessGuard(clock, maxPauseMs);
    }

    public get isRenewing(): boolean {
        return this.renewalStartedAt !== undefined;
    }

    /** Records that the membership task is running. Returns whether it had been paused for longer than the limit. */
    public recordWakeup(): boolean {
        const now = this.clock.now();
        const wasPaused = now - this.lastWakeupAt > this.maxPauseMs;
        this.lastWakeupAt = now;
        if (wasPaused) this.beginRenewal();
        else if (this.renewalStartedAt !== undefined && now - this.renewalStartedAt >= renewalTimeoutMs) this.endRenewal();
        return wasPaused;
    }

    public beginRenewal(): void {
        this.renewalStartedAt = this.clock.now();
    }

    public endRenewal(): void {
        this.renewalStartedAt = undefined;
    }

    /** Returns whether this VM may use its roles now. */
    public mayUseRoles(): boolean {
        return this.renewalStartedAt === undefined && this.clock.now() - this.lastWakeupAt <= this.maxPauseMs;
    }
}
