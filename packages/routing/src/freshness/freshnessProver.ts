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
import { CoalescedOperation } from "./coalescedOperation";
import { FreshnessProof } from "./freshnessProof";

/** Number of proofs obtained within the smallest maximum age that a class allows. */
const proofsPerMaxAge = 4;
/** Bounds of the interval between proofs, in milliseconds. */
const minIntervalMs = 20;
const maxIntervalMs = 1_000;
/** Time after the last read with a maximum age during which proofs are obtained in advance, in milliseconds. */
const activeAfterReadMs = 5_000;
/** Time limit of one confirmation, in milliseconds. */
const confirmTimeoutMs = 500;
/** Maximum number of proofs kept. Older ones are superseded by newer ones whose position the upstream has applied. */
const maxProofs = 64;

/**
 * Obtains proofs of freshness for one upstream: records the time on this VM's own clock, then requests the confirmed
 * position from the owner of the primary. Clocks of different VMs are never compared, and lag is never estimated.
 */
export class FreshnessProver {
    private proofs: FreshnessProof[] = [];
    private activeUntil = -Infinity;
    private readonly activated = Signal.create<void>();
    private readonly rounds: CoalescedOperation<FreshnessProof | undefined>;

    private constructor(
        private readonly clock: Clock,
        tasks: TaskGroup,
        private readonly group: string,
        private readonly groups: GroupDirectory,
        private readonly owners: OwnerDirectory,
        private readonly configuration: ConfigurationSource,
    ) {
        this.rounds = CoalescedOperation.create(tasks, () => this.queryPrimary());
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

    /** Obtains proofs at intervals while reads with a maximum age arrive. */
    public *run(): Operation<void> {
        for (;;) {
            if (this.clock.now() >= this.activeUntil) yield* this.activated.wait();
            yield* this.rounds.join();
            yield* sleep(this.clock, this.computeIntervalMs());
        }
    }

    /** Records a read with a maximum age, so that proofs are obtained in advance of the next ones. */
    public recordRead(): void {
        const wasActive = this.clock.now() < this.activeUntil;
        this.activeUntil = this.clock.now() + activeAfterReadMs;
        if (!wasActive) this.activated.notifyAll();
    }

    /** Requests a new proof. Returns one whose `askedAt` is not before the call, or undefined if none can be obtained. */
    public *requestProof(): Operation<FreshnessProof | undefined> {
        return yield* this.rounds.join();
    }

    /** Returns the newest proof that holds for data with all log entries up to `applied`. */
    public findNewest(applied: LogPosition): FreshnessProof | undefined {
        return this.proofs.findLast(proof => compareLogPositions(proof.position, applied) <= 0);
    }

    /** Returns a proof no older than `maxAgeMs` that holds for data with all log entries up to `applied`. */
    public findYounger(applied: LogPosition, maxAgeMs: number): FreshnessProof | undefined {
        const newest = this.findNewest(applied);
        return newest !== undefined && this.clock.now() - newest.askedAt <= maxAgeMs ? newest : undefined;
    }

    private *queryPrimary(): Operation<FreshnessProof | undefined> {
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

    private computeIntervalMs(): number {
        let smallestMaxAgeMs = Infinity;
        for (const workClass of this.configuration.current?.classes.values() ?? []) {
            if (workClass.maxAgeMs !== undefined && workClass.maxAgeMs > 0) smallestMaxAgeMs = Math.min(smallestMaxAgeMs, workClass.maxAgeMs);
        }
        return Math.min(Math.max(smallestMaxAgeMs / proofsPerMaxAge, minIntervalMs), maxIntervalMs);
    }
}
