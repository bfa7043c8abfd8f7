import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { Signal } from "@vanillarouter/base/signal";
import { Task } from "@vanillarouter/base/task";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { PrimaryTracker } from "../cluster/primaryTracker";
import { CommandKind } from "../model/commandKind";
import { UpstreamPool } from "../upstream/upstreamPool";
import { UpstreamPools } from "../upstream/upstreamPools";
import { ClockReading } from "./clockReading";
import { PrimaryVerification } from "./primaryVerification";
import { SuspensionDetector } from "./suspensionDetector";

/** Timeout of the status request to the first replica. It is short, because a replica responds within milliseconds unless it is disconnected or busy. */
const firstStatusTimeoutMs = 150;
const statusTimeoutMs = 350;
const maxReplicasPerRound = 2;
/** Cost of a replica in another zone, as a load per slot. A status waits longer for a slot than for the way to another zone. */
const otherZoneCost = 0.1;
/** Cost of a replica that failed once or that is leaving. It exceeds the load of one that responds. */
const doubtfulCost = 10;

interface VerificationRound {
    readonly startedAt: ClockReading;
    readonly done: Signal<PrimaryVerification | undefined>;
}

/**
 * Verifies by the status of one replica that a primary has not been replaced.
 *
 * A promotion first fences both other upstreams of the group. So if either of them reports the primary's term and no
 * fence, no promotion had taken effect when it was asked, and the primary's log at that time includes every commit
 * acknowledged before. Concurrent requests share a verification round.
 */
export class PrimaryVerifier {
    private round: VerificationRound | undefined;

    private constructor(
        private readonly service: string,
        private readonly clock: Clock,
        private readonly pools: UpstreamPools,
        private readonly primaryTracker: PrimaryTracker,
        private readonly suspension: SuspensionDetector,
        private readonly zone: string,
    ) {}

    public static create(
        service: string,
        clock: Clock,
        pools: UpstreamPools,
        primaryTracker: PrimaryTracker,
        suspension: SuspensionDetector,
        zone: string,
    ): PrimaryVerifier {
        return new PrimaryVerifier(service, clock, pools, primaryTracker, suspension, zone);
    }

    /** Returns a verification of `term` that began at or after `since`; undefined if there is none by `waitDeadline`. */
    public *verify(term: number, since: number, waitDeadline: number): Operation<PrimaryVerification | undefined> {
        while (this.clock.now() < waitDeadline) {
            const verification = yield* this.joinRound(since, waitDeadline);
            if (verification === undefined) return undefined;
            if (verification.askedAt.at >= since) return verification.term === term ? verification : undefined;
        }
        return undefined;
    }

    private *joinRound(since: number, waitDeadline: number): Operation<PrimaryVerification | undefined> {
        if (this.round === undefined) this.startRound();
        const round = this.round;
        if (round === undefined) return undefined;
        const verification = yield* withTimeout(this.clock, Math.max(1, waitDeadline - this.clock.now()), round.done.wait());
        // A failed round that began before `since` says nothing about this request, which therefore joins the next round.
        if (verification === undefined && round.startedAt.at < since && this.clock.now() < waitDeadline) return yield* this.joinRound(since, waitDeadline);
        return verification;
    }

    private startRound(): void {
        const round: VerificationRound = { startedAt: this.suspension.readClock(), done: Signal.create() };
        this.round = round;
        const task = Task.start(this.askReplicas(round.startedAt));
        task.onSettled(() => {
            if (this.round === round) this.round = undefined;
            task.deliver(verification => round.done.notifyAll(verification), () => round.done.notifyAll(undefined));
        });
    }

    private *askReplicas(askedAt: ClockReading): Operation<PrimaryVerification | undefined> {
        const primary = this.primaryTracker.primary;
        if (primary === undefined) return undefined;
        const replicas = this.pools.list(this.service).filter(pool => pool.upstream.id !== primary.id);
        replicas.sort((first, second) => this.computeReplicaCost(first) - this.computeReplicaCost(second));
        for (const [index, replica] of replicas.slice(0, maxReplicasPerRound).entries()) {
            const timeoutMs = index === 0 ? firstStatusTimeoutMs : statusTimeoutMs;
            const status = yield* replica.runControl(CommandKind.Status, timeoutMs);
            if (status === undefined) continue;
            if (status.term > primary.term || status.fenceTerm > 0) {
                this.primaryTracker.suspect(`replica ${replica.upstream.id} reports term ${status.term} and fence ${status.fenceTerm}`);
                if (status.term > primary.term) return undefined;
                continue;
            }
            // A replica that has not learned of the current term yet cannot confirm it.
            if (status.term === primary.term && !status.isPrimary) return { term: primary.term, received: status.received, askedAt };
        }
        return undefined;
    }

    /** Returns the cost by which replicas are ordered: responsive ones first, then those with free slots, then those in this VM's zone. */
    private computeReplicaCost(replica: UpstreamPool): number {
        const zoneCost = replica.upstream.zone === this.zone ? 0 : otherZoneCost;
        return doubtfulCost * (replica.consecutiveFailures + (replica.upstream.isLeaving ? 1 : 0)) + replica.slots.load + zoneCost;
    }
}
