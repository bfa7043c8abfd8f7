import { Clock } from "@vanillarouter/base/clock";
import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { Signal } from "@vanillarouter/base/signal";
import { sleep } from "@vanillarouter/base/sleep";
import { UpstreamControl } from "../group/upstreamControl";
import { UpstreamStatus } from "../group/upstreamStatus";
import { ConfirmationWait } from "./confirmationWait";

/** Time limit of one request to a replica, in milliseconds. A request without a response delays later ones. */
const requestTimeoutMs = 250;
/** Delays between failed requests, in milliseconds. */
const initialRetryDelayMs = 5;
const maxRetryDelayMs = 200;

/**
 * Queries one replica for the log entries that it holds, on behalf of all waiting writes. One request is in flight at a
 * time; its response settles every wait that it covers.
 */
export class ReplicaConfirmation {
    private readonly waits = new Set<ConfirmationWait>();
    private readonly waitAdded = Signal.create<void>();
    private retryDelayMs = initialRetryDelayMs;

    private constructor(private readonly clock: Clock, private readonly control: UpstreamControl) {}

    public static create(clock: Clock, control: UpstreamControl): ReplicaConfirmation {
        return new ReplicaConfirmation(clock, control);
    }

    public add(wait: ConfirmationWait): void {
        this.waits.add(wait);
        this.waitAdded.notifyAll();
    }

    public remove(wait: ConfirmationWait): void {
        this.waits.delete(wait);
    }

    public *run(): Operation<void> {
        try {
            for (;;) {
                if (this.waits.size === 0) yield* this.waitAdded.wait();
                else yield* this.queryReplica();
            }
        }
        finally {
            this.control.close();
        }
    }

    /** Queries for the lowest log entry that is waited for, so that a wait for a later one does not delay it. */
    private *queryReplica(): Operation<void> {
        const response = yield* this.control.waitForLogEntry(this.findLowestEntry(), requestTimeoutMs);
        if (response.ok && this.settleWaits(response.val)) {
            this.retryDelayMs = initialRetryDelayMs;
            return;
        }
        yield* sleep(this.clock, this.retryDelayMs);
        this.retryDelayMs = Math.min(this.retryDelayMs * 2, maxRetryDelayMs);
    }

    private findLowestEntry(): LogPosition {
        const entries = [...this.waits].map(wait => wait.entry);
        return entries.reduce((lowest, entry) => compareLogPositions(entry, lowest) < 0 ? entry : lowest);
    }

    /** Settles the waits that a status decides. Returns whether there were any. */
    private settleWaits(status: UpstreamStatus): boolean {
        let hasSettled = false;
        for (const wait of [...this.waits]) {
            const isHeld = this.checkHeld(wait.entry, status);
            if (isHeld === undefined) continue;
            this.waits.delete(wait);
            hasSettled = true;
            if (isHeld) wait.confirm();
            else wait.reject();
        }
        return hasSettled;
    }

    /**
     * Returns true if the replica holds the entry under its term, false if it never will because it accepted a higher term,
     * and undefined if this is not known yet.
     */
    private checkHeld(entry: LogPosition, status: UpstreamStatus): boolean | undefined {
        if (status.acceptedTerm > entry.term) return false;
        if (status.acceptedTerm < entry.term) return undefined;
        return compareLogPositions(status.received, entry) >= 0 ? true : undefined;
    }
}
