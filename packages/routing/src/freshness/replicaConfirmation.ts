import { Clock } from "@vanillarouter/base/clock";
import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { Signal } from "@vanillarouter/base/signal";
import { sleep } from "@vanillarouter/base/sleep";
import { GroupPeer } from "../group/groupPeer";
import { UpstreamStatus } from "../group/upstreamStatus";
import { ConfirmationWait } from "./confirmationWait";

/** Time that one question to a replica may take, in milliseconds. A question that gets no answer holds up later ones. */
const questionTimeoutMs = 250;
/** Delays between failed questions, in milliseconds. */
const firstRetryDelayMs = 5;
const lastRetryDelayMs = 200;

/**
 * Asks one replica which entries it holds, on behalf of all writes that wait. One question is open at a time; its answer
 * serves every wait that it covers.
 */
export class ReplicaConfirmation {
    private readonly waits = new Set<ConfirmationWait>();
    private readonly wanted = Signal.create<void>();
    private retryDelayMs = firstRetryDelayMs;

    private constructor(private readonly clock: Clock, private readonly peer: GroupPeer) {}

    public static create(clock: Clock, peer: GroupPeer): ReplicaConfirmation {
        return new ReplicaConfirmation(clock, peer);
    }

    public add(wait: ConfirmationWait): void {
        this.waits.add(wait);
        this.wanted.notifyAll();
    }

    public remove(wait: ConfirmationWait): void {
        this.waits.delete(wait);
    }

    public *run(): Operation<void> {
        try {
            for (;;) {
                if (this.waits.size === 0) yield* this.wanted.wait();
                else yield* this.ask();
            }
        }
        finally {
            this.peer.close();
        }
    }

    /** Asks for the lowest entry that is waited for, so that no wait is held up by a later one. */
    private *ask(): Operation<void> {
        const answer = yield* this.peer.waitReceived(this.findLowest(), questionTimeoutMs);
        if (answer.ok && this.settle(answer.val)) {
            this.retryDelayMs = firstRetryDelayMs;
            return;
        }
        yield* sleep(this.clock, this.retryDelayMs);
        this.retryDelayMs = Math.min(this.retryDelayMs * 2, lastRetryDelayMs);
    }

    private findLowest(): LogPosition {
        const entries = [...this.waits].map(wait => wait.entry);
        return entries.reduce((lowest, entry) => compareLogPositions(entry, lowest) < 0 ? entry : lowest);
    }

    /** Settles the waits that an answer covers, and returns whether there were any. */
    private settle(status: UpstreamStatus): boolean {
        let settled = false;
        for (const wait of [...this.waits]) {
            const verdict = this.judge(wait.entry, status);
            if (verdict === undefined) continue;
            this.waits.delete(wait);
            settled = true;
            if (verdict) wait.confirm();
            else wait.reject();
        }
        return settled;
    }

    /** True: the replica holds the entry under its term. False: it never will, having accepted a higher term. */
    private judge(entry: LogPosition, status: UpstreamStatus): boolean | undefined {
        if (status.acceptedTerm > entry.term) return false;
        if (status.acceptedTerm < entry.term) return undefined;
        return compareLogPositions(status.received, entry) >= 0 ? true : undefined;
    }
}
