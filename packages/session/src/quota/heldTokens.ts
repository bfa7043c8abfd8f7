import { ClockReading } from "../freshness/clockReading";
import { SuspensionDetector } from "../freshness/suspensionDetector";
import { QuotaLimits } from "./quotaLimits";

interface TokenBatch {
    readonly askedAt: ClockReading;
    count: number;
}

/**
 * Tokens that a keeper has granted to this VM and that have not been used. They expire a fixed time after they were asked for, and in a
 * suspension of the VM, so that a window of a quota contains only what is granted shortly before its end.
 */
export class HeldTokens {
    private batches: TokenBatch[] = [];

    private constructor(private readonly suspension: SuspensionDetector) {}

    public static create(suspension: SuspensionDetector): HeldTokens {
        return new HeldTokens(suspension);
    }

    public add(count: number, askedAt: ClockReading): void {
        if (count > 0) this.batches.push({ askedAt, count });
    }

    /** Takes the oldest token that has not expired. Returns whether there was one. */
    public take(): boolean {
        const now = this.suspension.readClock();
        this.batches = this.batches.filter(({ askedAt, count }) =>
            count > 0 && askedAt.generation === now.generation && now.at - askedAt.at < QuotaLimits.tokenLifetimeMs
        );
        const [oldest] = this.batches;
        if (oldest === undefined) return false;
        oldest.count--;
        return true;
    }
}
