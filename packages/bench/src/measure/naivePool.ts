import { Clock } from "@vanillarouter/base/clock";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { perform } from "@vanillarouter/base/perform";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { UpstreamSettings } from "@vanillarouter/base/upstreamSettings";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { Diagnostics } from "@vanillarouter/routing/diagnostics";
import { UpstreamConnection } from "@vanillarouter/routing/group/upstreamConnection";
import { UpstreamPeer } from "@vanillarouter/routing/group/upstreamPeer";
import { Err, Result } from "ts-results";

/** A fixed number of connections to one upstream, used first come, first served. */
export class NaivePool {
    private readonly idle: UpstreamConnection[] = [];
    private busy = 0;
    private waiting: (() => void)[] = [];
    private next = 0;

    private constructor(
        private readonly clock: Clock,
        private readonly peer: UpstreamPeer,
        private readonly upstream: UpstreamSettings,
        private readonly size: number,
    ) {}

    public static create(clock: Clock, peer: UpstreamPeer, upstream: UpstreamSettings, size: number): NaivePool {
        return new NaivePool(clock, peer, upstream, size);
    }

    /** Runs a statement on a connection for at most `timeoutMs`, however long it waited for the connection before. */
    public *run<T>(timeoutMs: number, statement: (connection: UpstreamConnection) => Operation<Result<T, Failure>>): Operation<Result<T, Failure>> {
        if (this.busy >= this.size) yield* this.waitForTurn();
        else this.busy++;
        let connection = this.idle.pop();
        try {
            if (connection === undefined) {
                const opening = yield* this.peer.connect(this.upstream, timeoutMs);
                if (opening.err) return opening;
                connection = opening.val;
            }
            const result = yield* withTimeout(this.clock, timeoutMs, statement(connection));
            return result ?? Err(createFailure(Diagnostics.timedOut, RunOutcome.Unknown, timeoutMs));
        }
        finally {
            if (connection?.isOpen === true) this.idle.push(connection);
            this.callNext();
        }
    }

    private waitForTurn(): Operation<void> {
        return perform<void>({
            start: resume => {
                this.waiting.push(() => resume());
                return () => {};
            },
        });
    }

    /** Hands the turn over to whoever has waited longest. */
    private callNext(): void {
        const waiter = this.waiting[this.next++];
        if (waiter !== undefined) {
            waiter();
            return;
        }
        this.waiting = [];
        this.next = 0;
        this.busy--;
    }
}
