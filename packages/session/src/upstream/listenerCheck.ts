import { Clock } from "@vanillarouter/base/clock";

/**
 * Service discovery removes the entry of an upstream that has ended after a few missed heartbeats. An entry that is listed for
 * this much longer describes no upstream that could come back.
 */
const staleEntryAgeMs = 6_000;

/**
 * Detects entries of service discovery at whose address nothing listens. An upstream that crashed, or that this VM is cut off from,
 * must not be taken for one: it may still confirm the commits of an old primary.
 */
export class ListenerCheck {
    private hasResponded = false;
    private refusedSince: number | undefined;

    private constructor(private readonly clock: Clock) {}

    public static create(clock: Clock): ListenerCheck {
        return new ListenerCheck(clock);
    }

    public recordResponse(): void {
        this.hasResponded = true;
    }

    public recordRefusal(): void {
        this.refusedSince ??= this.clock.now();
    }

    /** Records a failure that does not tell whether something listens, as in a partition. */
    public recordSilence(): void {
        this.refusedSince = undefined;
    }

    /** Whether the address has refused every connection of this VM so far. */
    public get isRefused(): boolean {
        return !this.hasResponded && this.refusedSince !== undefined;
    }

    /** Whether it has done so for longer than the entry of an upstream that has ended stays listed. */
    public get isStaleEntry(): boolean {
        return this.isRefused && this.clock.now() - this.refusedSince! >= staleEntryAgeMs;
    }
}
