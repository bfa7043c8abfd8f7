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
import { ControlConnection } from "./controlConnection";
import { Diagnostics } from "./diagnostics";
import { parseStatusRow } from "./parseStatusRow";

interface Waiter {
    readonly entry: LogPosition;
    readonly resume: (result: Result<UpstreamStatus, Failure>) => void;
}

/** Maximum wait of one call, so that a log entry that never arrives does not delay later calls. */
const callWaitMs = 50;
/** Time allowed for the response in addition to the wait. */
const responseMarginMs = 500;

/**
 * Waits until an upstream has received log entries. One call at a time serves all waiters: it waits for the highest entry
 * of the newest term, and its response settles every waiter of that term at or before the upstream's last entry.
 */
export class LogEntryWaiters {
    private readonly waiters = new Set<Waiter>();
    private callLoop: Task<void> | undefined;

    private constructor(private readonly upstream: string, private readonly connection: ControlConnection) {}

    public static create(upstream: string, connection: ControlConnection): LogEntryWaiters {
        return new LogEntryWaiters(upstream, connection);
    }

    /**
     * Waits for an entry without a timeout; the code that starts the operation has to limit the time. Returns the upstream's status
     * once it has received the entry. Fails with `termReplaced` if the upstream has accepted a higher term, or if a call fails.
     */
    public waitForEntry(entry: LogPosition): Operation<Result<UpstreamStatus, Failure>> {
        return perform<Result<UpstreamStatus, Failure>>({
            start: resume => {
                const waiter: Waiter = { entry, resume };
                this.waiters.add(waiter);
                if (this.callLoop === undefined || this.callLoop.isSettled) this.callLoop = Task.start(this.runCallLoop());
                return () => this.waiters.delete(waiter);
            },
        });
    }

    public close(): void {
        this.callLoop?.cancel();
        this.connection.close();
    }

    private *runCallLoop(): Operation<void> {
        while (this.waiters.size > 0) {
            const waiters = [...this.waiters];
            const highest = this.chooseHighestEntry(waiters);
            const result = yield* this.connection.call(
                `CALL vr_wait_received(${highest.term}, ${highest.position}, ${callWaitMs})`,
                callWaitMs + responseMarginMs,
            );
            if (result.err) {
                for (const waiter of waiters) this.settle(waiter, result);
                continue;
            }
            const status = parseStatusRow(result.val);
            if (status === undefined) this.failAll(waiters);
            else this.settleDecidedWaiters(waiters, status);
        }
    }

    private chooseHighestEntry(waiters: readonly Waiter[]): LogPosition {
        const entries = waiters.map(waiter => waiter.entry);
        return entries.reduce((best, entry) => entry.term > best.term || (entry.term === best.term && entry.position > best.position) ? entry : best);
    }

    /**
     * Settles the waiters whose result follows from the status. An entry has been received if the last entry has the same term and at least its position, because a single primary
     * wrote all entries of a term in sequence. A waiter of a term below the accepted one fails, because the upstream can no
     * longer confirm entries of that term.
     */
    private settleDecidedWaiters(waiters: readonly Waiter[], status: UpstreamStatus): void {
        for (const waiter of waiters) {
            const { term, position } = waiter.entry;
            if (status.acceptedTerm > term) {
                this.settle(waiter, Err(createFailure(RoutingDiagnostics.termReplaced, RunOutcome.Unknown, this.upstream, term)));
            }
            else if (status.received.term === term && status.received.position >= position) this.settle(waiter, Ok(status));
        }
    }

    private failAll(waiters: readonly Waiter[]): void {
        const failure = createFailure(Diagnostics.responseMalformed, RunOutcome.Unknown, this.upstream, "vr_wait_received");
        for (const waiter of waiters) this.settle(waiter, Err(failure));
    }

    private settle(waiter: Waiter, result: Result<UpstreamStatus, Failure>): void {
        if (this.waiters.delete(waiter)) waiter.resume(result);
    }
}
