import { Clock } from "@vanillarouter/base/clock";

const firstAvoidanceMs = 1_000;
const maxAvoidanceMs = 4_000;

/**
 * The keepers that do not respond. It answers a keeper that is cut off, frozen or gone: only one operation a second, or in
 * four seconds, waits for it in vain.
 */
export class KeeperHealth {
    private readonly failures = new Map<string, { readonly avoidedUntil: number; readonly avoidanceMs: number; }>();

    private constructor(private readonly clock: Clock) {}

    public static create(clock: Clock): KeeperHealth {
        return new KeeperHealth(clock);
    }

    /** Local time in milliseconds before which a keeper should not be asked. */
    public getAvoidedUntil(id: string): number {
        return this.failures.get(id)?.avoidedUntil ?? Number.NEGATIVE_INFINITY;
    }

    /** Records a response, or that there was none. Returns whether this changes the keeper's health. */
    public record(id: string, hasResponded: boolean): boolean {
        const known = this.failures.get(id);
        if (hasResponded) return this.failures.delete(id);
        const avoidanceMs = known === undefined ? firstAvoidanceMs : Math.min(maxAvoidanceMs, known.avoidanceMs * 2);
        this.failures.set(id, { avoidedUntil: this.clock.now() + avoidanceMs, avoidanceMs });
        return known === undefined;
    }

    /** Forgets the keepers that are no longer used. */
    public retain(isUsed: (id: string) => boolean): void {
        for (const id of [...this.failures.keys()]) {
            if (!isUsed(id)) this.failures.delete(id);
        }
    }
}
