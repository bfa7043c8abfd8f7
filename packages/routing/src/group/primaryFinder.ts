import { Clock } from "@vanillarouter/base/clock";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { findViewInFailure } from "../entry/findViewInFailure";
import { OwnerDirectory } from "../owner/ownerDirectory";
import { GroupDirectory } from "./groupDirectory";
import { KnownPrimary } from "./knownPrimary";

/** Interval at which a waiting request looks for a new owner, in milliseconds; owners change without a notification. */
const ownerPollMs = 25;

/** Finds the primary of a group and its owner, and waits for news of them. */
export class PrimaryFinder {
    private readonly answeredAt = new Map<string, number>();

    private constructor(private readonly clock: Clock, private readonly groups: GroupDirectory, private readonly owners: OwnerDirectory) {}

    public static create(clock: Clock, groups: GroupDirectory, owners: OwnerDirectory): PrimaryFinder {
        return new PrimaryFinder(clock, groups, owners);
    }

    /** Returns the primary and its owner; undefined while one of them is not known. */
    public find(group: string): KnownPrimary | undefined {
        const view = this.groups.find(group);
        if (view?.primary === undefined) return undefined;
        const owner = this.owners.findOwner(view.primary);
        return owner === undefined ? undefined : { upstream: view.primary, term: view.term, owner };
    }

    /** Whether a newer term, another primary or another owner than `seen` is known. */
    public hasMoved(group: string, seen: KnownPrimary): boolean {
        if (this.groups.find(group) === undefined) return false;
        if (this.isReplaced(group, seen)) return true;
        const owner = this.owners.findOwner(seen.upstream);
        return owner !== undefined && owner !== seen.owner;
    }

    /** Whether a newer term or another primary than `seen` is known. */
    public isReplaced(group: string, seen: KnownPrimary): boolean {
        const view = this.groups.find(group);
        return view !== undefined && (view.term !== seen.term || view.primary !== seen.upstream);
    }

    /** Takes over the group view that a failure carries. */
    public learn(failure: Failure): void {
        const view = findViewInFailure(failure);
        if (view !== undefined) this.groups.learn(view);
    }

    /** Takes note that the group's primary answered. */
    public recordAnswer(group: string): void {
        this.answeredAt.set(group, this.clock.now());
    }

    /** Whether the group's primary answered any request of this VM after `time`. */
    public hasAnsweredSince(group: string, time: number): boolean {
        return (this.answeredAt.get(group) ?? Number.NEGATIVE_INFINITY) > time;
    }

    /** Waits up to `limitMs` until `isReady` holds. Returns whether it does. */
    public *waitUntil(isReady: () => boolean, limitMs: number): Operation<boolean> {
        const end = this.clock.now() + limitMs;
        while (!isReady()) {
            const left = end - this.clock.now();
            if (left <= 0) return false;
            yield* withTimeout(this.clock, Math.min(left, ownerPollMs), this.groups.changed.wait());
        }
        return true;
    }
}
