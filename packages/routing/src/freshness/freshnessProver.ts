import { Clock } from "@vanillarouter/base/clock";
import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { ConfigurationSource } from "@vanillarouter/base/configurationSource";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { Signal } from "@vanillarouter/base/signal";
import { sleep } from "@vanillarouter/base/sleep";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import { GroupDirectory } from "../group/groupDirectory";
import { OwnerDirectory } from "../owner/ownerDirectory";
import { FreshnessProof } from "./freshnessProof";
import { SharedRound } from "./sharedRound";

/** Proofs obtained in the time that the smallest age of a class spans. */
const proofsPerAge = 4;
/** Bounds of the interval between proofs, in milliseconds. */
const shortestIntervalMs = 20;
const longestIntervalMs = 1_000;
/** Time after the last read with an age for which proofs are obtained ahead of the next, in milliseconds. */
const activeMs = 5_000;
/** Time allowed for one confirmation, in milliseconds. */
const confirmTimeoutMs = 500;
/** Proofs kept; older ones have given way to newer ones that the upstream has applied. */
const maxProofs = 64;

/**
 * Obtains proofs of freshness for one upstream: at a time on this VM's own clock it asks the owner of the primary for its
 * confirmed position. No clock is compared with another, and lag is never estimated.
 */
export class FreshnessProver {
    private proofs: FreshnessProof[] = [];
    private activeUntil = -Infinity;
    private readonly activated = Signal.create<void>();
    private readonly rounds: SharedRound<FreshnessProof | undefined>;

    private constructor(
        private readonly clock: Clock,
        tasks: TaskGroup,
        private readonly group: string,
        private readonly groups: GroupDirectory,
        private readonly owners: OwnerDirectory,
        private readonly configuration: ConfigurationSource,
    ) {
        this.rounds = SharedRound.create(tasks, () => this.ask());
    }

    public static create(
        clock: Clock,
        tasks: TaskGroup,
        group: string,
        groups: GroupDirectory,
        owners: OwnerDirectory,
        configuration: ConfigurationSource,
    ): FreshnessProver {
        return new FreshnessProver(clock, tasks, group, groups, owners, configuration);
    }

    /** Obtains proofs at intervals while reads with an age arrive. */
    public *run(): Operation<void> {
        for (;;) {
            if (this.clock.now() >= this.activeUntil) yield* this.activated.wait();
            yield* this.rounds.join();
            yield* sleep(this.clock, this.chooseInterval());
        }
    }

    /** Notes a read with an age, so that proofs are obtained ahead of the next ones. */
    public noteRead(): void {
        const wasActive = this.clock.now() < this.activeUntil;
        this.activeUntil = this.clock.now() + activeMs;
        if (!wasActive) this.activated.notifyAll();
    }

    /** Asks now. Returns a proof whose `askedAt` is not before the call; undefined if none can be had. */
    public *obtain(): Operation<FreshnessProof | undefined> {
        return yield* this.rounds.join();
    }

    /** The newest proof that data with everything up to `applied` meets. */
    public findNewest(applied: LogPosition): FreshnessProof | undefined {
        return this.proofs.findLast(proof => compareLogPositions(proof.position, applied) <= 0);
    }

    /** A proof younger than `maxAgeMs` that data with everything up to `applied` meets. */
    public findYounger(applied: LogPosition, maxAgeMs: number): FreshnessProof | undefined {
        const newest = this.findNewest(applied);
        return newest !== undefined && this.clock.now() - newest.askedAt <= maxAgeMs ? newest : undefined;
    }

    private *ask(): Operation<FreshnessProof | undefined> {
        const askedAt = this.clock.now();
        const primary = this.groups.find(this.group)?.primary;
        const owner = primary === undefined ? undefined : this.owners.findOwner(primary);
        if (primary === undefined || owner === undefined) return undefined;
        const confirmed = yield* owner.confirmPosition(this.group, primary, confirmTimeoutMs);
        if (!confirmed.ok) return undefined;
        const proof = { askedAt, position: confirmed.val.position };
        this.proofs.push(proof);
        if (this.proofs.length > maxProofs) this.proofs = this.proofs.slice(-maxProofs / 2);
        return proof;
    }

    private chooseInterval(): number {
        let smallest = Infinity;
        for (const workClass of this.configuration.current?.classes.values() ?? []) {
            if (workClass.maxAgeMs !== undefined && workClass.maxAgeMs > 0) smallest = Math.min(smallest, workClass.maxAgeMs);
        }
        return Math.min(Math.max(smallest / proofsPerAge, shortestIntervalMs), longestIntervalMs);
    }
}
