import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { Signal } from "@vanillarouter/base/signal";
import { Task } from "@vanillarouter/base/task";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { PrimaryBelief } from "../cluster/primaryBelief";
import { CommandKind } from "../model/commandKind";
import { UpstreamPool } from "../upstream/upstreamPool";
import { UpstreamPools } from "../upstream/upstreamPools";
import { Proof } from "./proof";

/** The next replica is asked soon, because an answer of the first takes milliseconds unless it is cut off or busy. */
const firstStatusTimeoutMs = 150;
const statusTimeoutMs = 350;
const mostReplicas = 2;

interface Round {
    readonly startedAt: number;
    readonly done: Signal<Proof | undefined>;
}

/**
 * Proves that a primary has not been replaced, by the status of one replica.
 *
 * A promotion fences both other upstreams of the group first. So if either of them reports the primary's term and no
 * fence, no promotion had taken effect when it was asked, and whatever the primary then holds includes every commit
 * acknowledged before. Requests that wait at the same time share a round.
 */
export class PrimaryProver {
    private round: Round | undefined;

    private constructor(
        private readonly service: string,
        private readonly clock: Clock,
        private readonly pools: UpstreamPools,
        private readonly belief: PrimaryBelief,
        private readonly zone: string,
    ) {}

    public static create(service: string, clock: Clock, pools: UpstreamPools, belief: PrimaryBelief, zone: string): PrimaryProver {
        return new PrimaryProver(service, clock, pools, belief, zone);
    }

    /** Returns a proof for the primary's term begun at or after `since`; undefined if there is none by `giveUpAt`. */
    public *prove(term: number, since: number, giveUpAt: number): Operation<Proof | undefined> {
        while (this.clock.now() < giveUpAt) {
            const proof = yield* this.join(since, giveUpAt);
            if (proof === undefined) return undefined;
            if (proof.askedAt >= since) return proof.term === term ? proof : undefined;
        }
        return undefined;
    }

    private *join(since: number, giveUpAt: number): Operation<Proof | undefined> {
        if (this.round === undefined) this.start();
        const round = this.round;
        if (round === undefined) return undefined;
        const proof = yield* withTimeout(this.clock, Math.max(1, giveUpAt - this.clock.now()), round.done.wait());
        // A round that began too early says nothing about this request; the next one will.
        if (proof === undefined && round.startedAt < since && this.clock.now() < giveUpAt) return yield* this.join(since, giveUpAt);
        return proof;
    }

    private start(): void {
        const round: Round = { startedAt: this.clock.now(), done: Signal.create() };
        this.round = round;
        const task = Task.start(this.ask(round.startedAt));
        task.onSettled(() => {
            if (this.round === round) this.round = undefined;
            task.deliver(proof => round.done.notifyAll(proof), () => round.done.notifyAll(undefined));
        });
    }

    private *ask(askedAt: number): Operation<Proof | undefined> {
        const primary = this.belief.primary;
        if (primary === undefined) return undefined;
        const replicas = this.pools.list(this.service).filter(pool => pool.entry.id !== primary.id);
        replicas.sort((first, second) => this.rateReplica(first) - this.rateReplica(second));
        for (const [index, replica] of replicas.slice(0, mostReplicas).entries()) {
            const timeoutMs = index === 0 ? firstStatusTimeoutMs : statusTimeoutMs;
            const status = yield* replica.runControl(CommandKind.Status, timeoutMs);
            if (status === undefined) continue;
            if (status.term > primary.term || status.fenceTerm > 0) {
                this.belief.suspect(`replica ${replica.entry.id} reports term ${status.term} and fence ${status.fenceTerm}`);
                if (status.term > primary.term) return undefined;
                continue;
            }
            // A replica that has not heard of the current term yet confirms nothing.
            if (status.term === primary.term && !status.isPrimary) return { term: primary.term, received: status.received, askedAt };
        }
        return undefined;
    }

    /** Replicas that answer come first, the nearest before the others. */
    private rateReplica(replica: UpstreamPool): number {
        return 2 * replica.failures + (replica.entry.isLeaving ? 2 : 0) + (replica.entry.zone === this.zone ? 0 : 1);
    }
}
