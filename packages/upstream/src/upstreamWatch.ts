import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { race } from "@vanillarouter/base/race";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { Signal } from "@vanillarouter/base/signal";
import { sleep } from "@vanillarouter/base/sleep";
import { Diagnostics } from "@vanillarouter/routing/diagnostics";
import { GroupPeer } from "@vanillarouter/routing/group/groupPeer";
import { UpstreamStatus } from "@vanillarouter/routing/group/upstreamStatus";
import { failoverLimits } from "./failoverLimits";

/** The latest states of a group's upstreams, read by one task per upstream. */
export class UpstreamWatch {
    /** Notified after each status call, successful or not. */
    public readonly updated = Signal.create<void>();
    private readonly latest = new Map<string, { readonly status: UpstreamStatus; readonly askedAt: number; }>();
    private readonly hurry = Signal.create<void>();
    private suspicious = false;
    private readonly asked = new Set<string>();
    private readonly refusing = new Set<string>();
    private forgottenAt = -1;

    private constructor(private readonly clock: Clock, private readonly random: RandomSource, private readonly pollFactor: number) {}

    /** `pollFactor` multiplies the time between status calls of a healthy group. */
    public static create(clock: Clock, random: RandomSource, pollFactor: number): UpstreamWatch {
        return new UpstreamWatch(clock, random, pollFactor);
    }

    /** States that are recent enough to judge by. A candidate that was paused has none. */
    public get statuses(): readonly UpstreamStatus[] {
        const oldest = this.clock.now() - failoverLimits.statusMaxAgeMs * this.pollFactor;
        return [...this.latest.values()].filter(entry => entry.askedAt >= oldest).map(entry => entry.status);
    }

    /** Whether an upstream refused the last connection, which a live server that is merely slow or cut off does not do. */
    public isRefusing(upstream: string): boolean {
        return this.refusing.has(upstream);
    }

    /** Whether every upstream has answered, or failed to, since the states were last dropped. */
    public isComplete(size: number): boolean {
        return this.asked.size >= size;
    }

    /** While suspicious, states are read more often. */
    public setSuspicious(suspicious: boolean): void {
        const rises = suspicious && !this.suspicious;
        this.suspicious = suspicious;
        if (rises) this.hurry.notifyAll();
    }

    /** Drops all states; answers to questions asked before are dropped too. */
    public forget(): void {
        this.latest.clear();
        this.asked.clear();
        this.forgottenAt = this.clock.now();
        this.hurry.notifyAll();
    }

    /** Reads the state of one upstream again and again. */
    public *watch(peer: GroupPeer): Operation<void> {
        for (;;) {
            const askedAt = this.clock.now();
            const result = yield* peer.readStatus(failoverLimits.statusTimeoutMs);
            if (result.ok && askedAt >= this.forgottenAt) this.latest.set(peer.upstream, { status: result.val, askedAt });
            if (result.err) this.latest.delete(peer.upstream);
            if (result.err && result.val.code === Diagnostics.connectionRefused.code) this.refusing.add(peer.upstream);
            else this.refusing.delete(peer.upstream);
            if (askedAt >= this.forgottenAt) this.asked.add(peer.upstream);
            this.updated.notifyAll();
            yield* race(this.listWakeUps(peer));
        }
    }

    private listWakeUps(peer: GroupPeer): readonly Operation<void>[] {
        const wakeUps = [sleep(this.clock, this.drawPause()), this.hurry.wait()];
        return peer.disconnected === undefined ? wakeUps : [...wakeUps, peer.disconnected.wait()];
    }

    private drawPause(): number {
        const pauseMs = this.suspicious ? failoverLimits.suspiciousPollMs : failoverLimits.pollMs * this.pollFactor;
        return pauseMs * (0.75 + 0.5 * this.random.next());
    }
}
