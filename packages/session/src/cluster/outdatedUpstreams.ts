import { Clock } from "@vanillarouter/base/clock";
import { UpstreamEntry } from "../model/upstreamEntry";
import { compareReports } from "./compareReports";

/** Time for which an outdated entry is held back. An upstream that runs reports again within it, and the entry of another one expires. */
const deferralMs = 6_000;
/** Time for which the last entry of an upstream that left is kept. It is longer than backups are old. */
const departureRetentionMs = 60_000;

/**
 * Entries of service discovery that a store brought back from a backup although a later state of the upstream is known: it has left,
 * is leaving or has changed its role. They are held back, and used only if nothing newer arrives.
 */
export class OutdatedUpstreams {
    private readonly deferred = new Map<string, { readonly upstream: UpstreamEntry; readonly dueAt: number; }>();
    private readonly departed = new Map<string, { readonly upstream: UpstreamEntry; readonly leftAt: number; }>();

    private constructor(private readonly clock: Clock) {}

    public static create(clock: Clock): OutdatedUpstreams {
        return new OutdatedUpstreams(clock);
    }

    /** Remembers the last entry of an upstream that has left. */
    public recordDeparture(upstream: UpstreamEntry): void {
        const now = this.clock.now();
        // The map is in the order of departures.
        for (const [id, { leftAt }] of this.departed) {
            if (now - leftAt <= departureRetentionMs) break;
            this.departed.delete(id);
        }
        this.departed.delete(upstream.id);
        this.departed.set(upstream.id, { upstream, leftAt: now });
    }

    /** Holds back an entry of a backup if it is outdated. `known` is the present entry of the upstream, if it has one. Returns whether it is. */
    public defer(upstream: UpstreamEntry, known: UpstreamEntry | undefined): boolean {
        if (!this.isOutdated(upstream, known)) return false;
        this.deferred.set(upstream.id, { upstream, dueAt: this.clock.now() + deferralMs });
        return true;
    }

    /** Forgets the held back entry of an upstream, because something newer is known. */
    public discard(id: string): void {
        this.deferred.delete(id);
    }

    /** Removes and returns the entries that have been held back for long enough. */
    public takeDue(): readonly UpstreamEntry[] {
        const due = [...this.deferred.values()].filter(({ dueAt }) => this.clock.now() >= dueAt).map(({ upstream }) => upstream);
        for (const { id } of due) this.deferred.delete(id);
        return due;
    }

    private isOutdated(upstream: UpstreamEntry, known: UpstreamEntry | undefined): boolean {
        if (known !== undefined) return compareReports(upstream, known) < 0;
        const departed = this.departed.get(upstream.id);
        return departed !== undefined && compareReports(upstream, departed.upstream) <= 0;
    }
}
