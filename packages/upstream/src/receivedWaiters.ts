import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { perform } from "@vanillarouter/base/perform";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Task } from "@vanillarouter/base/task";
import { Diagnostics as RoutingDiagnostics } from "@vanillarouter/routing/diagnostics";
import { UpstreamStatus } from "@vanillarouter/routing/group/upstreamStatus";
import { Err, Ok, Result } from "ts-results";
import { ControlLink } from "./controlLink";
import { Diagnostics } from "./diagnostics";
import { readStatusRow } from "./readStatusRow";

interface Waiter {
    readonly entry: LogPosition;
    readonly resume: (result: Result<UpstreamStatus, Failure>) => void;
}

/** Longest wait asked of the upstream at once, so that a later question is not held up by an entry that does not come. */
const sliceMs = 50;
/** Time for the answer beyond the slice. */
const answerMs = 500;

/**
 * Waits until an upstream holds entries. One call at a time serves all waiters: it asks for the last entry of the
 * newest term, and its answer settles every waiter of that term at or before the upstream's last entry.
 */
export class ReceivedWaiters {
    private readonly waiters = new Set<Waiter>();
    private pump: Task<void> | undefined;

    private constructor(private readonly upstream: string, private readonly link: ControlLink) {}

    public static create(upstream: string, link: ControlLink): ReceivedWaiters {
        return new ReceivedWaiters(upstream, link);
    }

    /** Waits without a limit of its own; the caller limits the time. */
    public wait(entry: LogPosition): Operation<Result<UpstreamStatus, Failure>> {
        return perform<Result<UpstreamStatus, Failure>>({
            start: resume => {
                const waiter: Waiter = { entry, resume };
                this.waiters.add(waiter);
                if (this.pump === undefined || this.pump.isSettled) this.pump = Task.start(this.run());
                return () => this.waiters.delete(waiter);
            },
        });
    }

    public close(): void {
        this.pump?.cancel();
        this.link.close();
    }

    private *run(): Operation<void> {
        while (this.waiters.size > 0) {
            const asked = [...this.waiters];
            const target = this.pickTarget(asked);
            const result = yield* this.link.call(`CALL vr_wait_received(${target.term}, ${target.position}, ${sliceMs})`, sliceMs + answerMs);
            if (result.err) {
                for (const waiter of asked) this.settle(waiter, result);
                continue;
            }
            const status = readStatusRow(result.val);
            if (status === undefined) this.failAll(asked);
            else this.settleAll(asked, status);
        }
    }

    private pickTarget(waiters: readonly Waiter[]): LogPosition {
        const entries = waiters.map(waiter => waiter.entry);
        return entries.reduce((best, entry) => entry.term > best.term || (entry.term === best.term && entry.position > best.position) ? entry : best);
    }

    /**
     * An entry is held if the last entry is of the same term and not before it: one primary wrote that term in sequence.
     * A waiter of a term below the accepted one fails, as the upstream can confirm nothing of that term any more.
     */
    private settleAll(waiters: readonly Waiter[], status: UpstreamStatus): void {
        for (const waiter of waiters) {
            const { term, position } = waiter.entry;
            if (status.acceptedTerm > term) {
                this.settle(waiter, Err(createFailure(RoutingDiagnostics.termReplaced, RunOutcome.Unknown, this.upstream, term)));
            }
            else if (status.received.term === term && status.received.position >= position) this.settle(waiter, Ok(status));
        }
    }

    private failAll(waiters: readonly Waiter[]): void {
        const failure = createFailure(Diagnostics.answerMalformed, RunOutcome.Unknown, this.upstream, "vr_wait_received");
        for (const waiter of waiters) this.settle(waiter, Err(failure));
    }

    private settle(waiter: Waiter, result: Result<UpstreamStatus, Failure>): void {
        if (this.waiters.delete(waiter)) waiter.resume(result);
    }
}
