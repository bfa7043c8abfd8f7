import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { Signal } from "@vanillarouter/base/signal";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { StoreChange } from "@vanillarouter/session/model/storeChange";
import { StoreChanges } from "@vanillarouter/session/model/storeChanges";
import { StorePosition } from "@vanillarouter/session/model/storePosition";

/** Number of changes kept for the VMs that follow this one. A VM that is further behind reads the store. */
const maxChanges = 500;

/** The latest changes of the store that this VM has seen, kept for the VMs that follow it. */
export class ChangeLog {
    private changes: StoreChange[] = [];
    private era = 0;
    /** The log holds the latest change of every key changed after this revision. */
    private completeAfter = Number.POSITIVE_INFINITY;
    private latestRevision = 0;
    private isConnected = false;
    private readonly changed = Signal.create<void>();

    private constructor(private readonly clock: Clock) {}

    public static create(clock: Clock): ChangeLog {
        return new ChangeLog(clock);
    }

    /** Clears the log after the whole store has been read as of a position. */
    public reset({ era, revision }: StorePosition): void {
        this.changes = [];
        this.era = era;
        this.completeAfter = revision;
        this.latestRevision = revision;
        this.isConnected = true;
        this.changed.notifyAll();
    }

    /** Adds changes of the era of the last reset. Only the latest change of a key is kept, because configurations are large and may change in quick succession. */
    public append(appended: StoreChanges): void {
        const keys = new Set(appended.changes.map(change => change.key));
        const latest = new Map(appended.changes.map(change => [change.key, change]));
        this.changes = [...this.changes.filter(change => !keys.has(change.key)), ...appended.changes.filter(change => latest.get(change.key) === change)];
        this.latestRevision = Math.max(this.latestRevision, appended.position.revision);
        const dropped = this.changes.splice(0, Math.max(0, this.changes.length - maxChanges));
        this.completeAfter = dropped.at(-1)?.revision ?? this.completeAfter;
        if (appended.changes.length > 0) this.changed.notifyAll();
    }

    /** Ends all waits and refuses new ones, because this VM gets no responses from the store and its followers need another source. */
    public disconnect(): void {
        this.isConnected = false;
        this.changed.notifyAll();
    }

    /** Waits up to `waitMs` for changes after a position. Returns undefined if the log lacks some of them or this VM has lost the store. */
    public *waitForChangesAfter(after: StorePosition, waitMs: number): Operation<StoreChanges | undefined> {
        const deadline = this.clock.now() + waitMs;
        for (;;) {
            const found = this.findChangesAfter(after);
            const remainingMs = deadline - this.clock.now();
            if (found === undefined || found.changes.length > 0 || remainingMs <= 0) return found;
            yield* withTimeout(this.clock, remainingMs, this.changed.wait());
        }
    }

    private findChangesAfter({ era, revision }: StorePosition): StoreChanges | undefined {
        if (!this.isConnected || era !== this.era || revision < this.completeAfter) return undefined;
        const changes = this.changes.filter(change => change.revision > revision);
        return { changes, position: { era, revision: Math.max(revision, this.latestRevision) } };
    }
}
