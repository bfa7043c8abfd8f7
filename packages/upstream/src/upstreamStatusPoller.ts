import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { race } from "@vanillarouter/base/race";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { Signal } from "@vanillarouter/base/signal";
import { sleep } from "@vanillarouter/base/sleep";
import { Diagnostics } from "@vanillarouter/routing/diagnostics";
import { UpstreamControl } from "@vanillarouter/routing/group/upstreamControl";
import { UpstreamStatus } from "@vanillarouter/routing/group/upstreamStatus";
import { failoverLimits } from "./failoverLimits";

/** Keeps the latest status of each upstream of a group, polled by one task per upstream. */
export class UpstreamStatusPoller {
    /** Notified after each status call, successful or not. */
    public readonly updated = Signal.create<void>();
    private readonly latest = new Map<string, { readonly status: UpstreamStatus; readonly requestedAt: number; }>();
    private readonly pollNow = Signal.create<void>();
    private suspicious = false;
    private readonly polled = new Set<string>();
    private readonly refusing = new Set<string>();
    private discardedAt = -1;

    private constructor(private readonly clock: Clock, private readonly random: RandomSource, private readonly pollFactor: number) {}

    /** `pollFactor` multiplies the time between status calls of a healthy group and the maximum age of a status. */
    public static create(clock: Clock, random: RandomSource, pollFactor: number): UpstreamStatusPoller {
        return new UpstreamStatusPoller(clock, random, pollFactor);
    }

    /** Statuses that are recent enough to act on. Empty right after the candidate was paused for longer than the maximum age. */
    public get statuses(): readonly UpstreamStatus[] {
        const oldestRequestAt = this.clock.now() - failoverLimits.statusMaxAgeMs * this.pollFactor;
        return [...this.latest.values()].filter(sample => sample.requestedAt >= oldestRequestAt).map(sample => sample.status);
    }

    /** Whether an upstream refused the last connection, which a running server that is only slow or unreachable does not do. */
    public isRefusing(upstream: string): boolean {
        return this.refusing.has(upstream);
    }

    /** Whether a status call to every upstream has succeeded or failed since the statuses were last discarded. */
    public isComplete(groupSize: number): boolean {
        return this.polled.size >= groupSize;
    }

    /** Sets whether a failure is suspected. Upstreams are polled more often while it is. */
    public setSuspicious(suspicious: boolean): void {
        const becameSuspicious = suspicious && !this.suspicious;
        this.suspicious = suspicious;
        if (becameSuspicious) this.pollNow.notifyAll();
    }

    /** Discards all statuses, including those of calls that are still in progress. */
    public discardStatuses(): void {
        this.latest.clear();
        this.polled.clear();
        this.discardedAt = this.clock.now();
        this.pollNow.notifyAll();
    }

    /** Polls the status of one upstream until cancelled. */
    public *poll(control: UpstreamControl): Operation<void> {
        for (;;) {
            const requestedAt = this.clock.now();
            const result = yield* control.readStatus(failoverLimits.statusTimeoutMs);
            if (result.ok && requestedAt >= this.discardedAt) this.latest.set(control.upstream, { status: result.val, requestedAt });
            if (result.err) this.latest.delete(control.upstream);
            if (result.err && result.val.code === Diagnostics.connectionRefused.code) this.refusing.add(control.upstream);
            else this.refusing.delete(control.upstream);
            if (requestedAt >= this.discardedAt) this.polled.add(control.upstream);
            this.updated.notifyAll();
            yield* race(this.createWakeUps(control));
        }
    }

    private createWakeUps(control: UpstreamControl): readonly Operation<void>[] {
        const wakeUps = [sleep(this.clock, this.drawPollIntervalMs()), this.pollNow.wait()];
        return control.disconnected === undefined ? wakeUps : [...wakeUps, control.disconnected.wait()];
    }

    private drawPollIntervalMs(): number {
        const intervalMs = this.suspicious ? failoverLimits.suspiciousPollIntervalMs : failoverLimits.pollIntervalMs * this.pollFactor;
        return intervalMs * (0.75 + 0.5 * this.random.next());
    }
}
