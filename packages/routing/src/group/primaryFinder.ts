import { Clock } from "@vanillarouter/base/clock";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { findViewInFailure } from "../entry/findViewInFailure";
import { OwnerDirectory } from "../owner/ownerDirectory";
import { GroupDirectory } from "./groupDirectory";
import { KnownPrimary } from "./knownPrimary";

/** Interval at which a waiting request polls for a new owner, in milliseconds. A change of owner sends no notification. */
const ownerPollIntervalMs = 25;

/** Finds the primary of a group and its owner, and waits for changes of them. */
export class PrimaryFinder {
    private readonly respondedAt = new Map<string, number>();

    private constructor(private readonly clock: Clock, private readonly groups: GroupDirectory, private readonly owners: OwnerDirectory) {}

    public static create(clock: Clock, groups: GroupDirectory, owners: OwnerDirectory): PrimaryFinder {
        return new PrimaryFinder(clock, groups, owners);
    }

    /** Returns the primary and its owner. Returns undefined while one of them is not known. */
    public find(group: string): KnownPrimary | undefined {
        const view = this.groups.find(group);
        if (view?.primary === undefined) return undefined;
        const owner = this.owners.findOwner(view.primary);
        return owner === undefined ? undefined : { upstream: view.primary, term: view.term, owner };
    }

    /** Whether a term, primary or owner other than that in `known` is now known. */
    public hasPrimaryOrOwnerChanged(group: string, known: KnownPrimary): boolean {
        if (this.groups.find(group) === undefined) return false;
        if (this.hasPrimaryChanged(group, known)) return true;
        const owner = this.owners.findOwner(known.upstream);
        return owner !== undefined && owner !== known.owner;
    }

    /** Whether a term or primary other than that in `known` is now known. */
    public hasPrimaryChanged(group: string, known: KnownPrimary): boolean {
        const view = this.groups.find(group);
        return view !== undefined && (view.term !== known.term || view.primary !== known.upstream);
    }

    /** Passes the group view that a failure carries, if any, to the directory. */
    public learnFromFailure(failure: Failure): void {
        const view = findViewInFailure(failure);
        if (view !== undefined) this.groups.learn(view);
    }

    /** Records that the group's primary responded to a request. */
    public recordResponse(group: string): void {
        this.respondedAt.set(group, this.clock.now());
    }

    /** Whether the group's primary responded to any request of this VM after `time`. */
    public hasRespondedSince(group: string, time: number): boolean {
        return (this.respondedAt.get(group) ?? Number.NEGATIVE_INFINITY) > time;
    }

    /** Waits up to `limitMs` until `isReady` returns true. Returns false on timeout. */
    public *waitUntil(isReady: () => boolean, limitMs: number): Operation<boolean> {
        const end = this.clock.now() + limitMs;
        while (!isReady()) {
            const remainingMs = end - this.clock.now();
            if (remainingMs <= 0) return false;
            yield* withTimeout(this.clock, Math.min(remainingMs, ownerPollIntervalMs), this.groups.changed.wait());
        }
        return true;
    }
}
