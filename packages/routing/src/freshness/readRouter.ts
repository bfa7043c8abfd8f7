import { Clock } from "@vanillarouter/base/clock";
import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { UpstreamSettings } from "@vanillarouter/base/upstreamSettings";
import { AdmittedRequest } from "../entry/admittedRequest";
import { GroupDirectory } from "../group/groupDirectory";
import { GroupProgress } from "../group/groupProgress";
import { OwnerDirectory } from "../owner/ownerDirectory";
import { OwnerLoad } from "../owner/ownerLoad";
import { UpstreamEstimates } from "../owner/upstreamEstimates";
import { ReadChoice } from "./readChoice";

/** Extra cost of a read on the primary, in milliseconds: its slots are more valuable because only the primary can write. */
const primaryPenaltyMs = 10;
/** Share of the remaining time that a read may wait for a replica before it is sent. */
const maxWaitShare = 0.25;
/** Random share added to expected times. It spreads the reads of many VMs whose load figures are equally old. */
const jitterShare = 0.3;

/** Added to the expected time of an upstream that recently failed or lacked a proof of freshness, in milliseconds. */
const avoidancePenaltyMs = 1_000_000_000;

/** The floor of a read, and the time since which this VM has known it. */
interface ReadFloor {
    readonly position: LogPosition | undefined;
    readonly knownSince: number;
}

/** Chooses the upstream for each read by the load and progress that owners report in their responses. */
export class ReadRouter {
    private readonly estimates = new Map<string, UpstreamEstimates>();
    private readonly progress = new Map<string, GroupProgress>();

    private constructor(
        private readonly clock: Clock,
        private readonly random: RandomSource,
        private readonly groups: GroupDirectory,
        private readonly owners: OwnerDirectory,
    ) {}

    public static create(clock: Clock, random: RandomSource, groups: GroupDirectory, owners: OwnerDirectory): ReadRouter {
        return new ReadRouter(clock, random, groups, owners);
    }

    /**
     * Chooses among the upstreams of the group that are not in `excluded`. Returns undefined if none is left.
     *
     * The replica with the shortest expected time serves the read unless all replicas are to be avoided or the wait for the
     * floor makes it more expensive than the primary. A long queue alone does not send a read to the primary, because an
     * overload of reads would then take slots from writes.
     */
    public choose(request: AdmittedRequest, floor: ReadFloor, excluded: ReadonlySet<string>): ReadChoice | undefined {
        const primaryId = this.groups.find(request.group.name)?.primary;
        let replica: ReadChoice | undefined;
        let primary: ReadChoice | undefined;
        for (const upstream of request.group.upstreams) {
            if (excluded.has(upstream.id)) continue;
            const isPrimary = upstream.id === primaryId;
            if (!isPrimary && request.workClass.maxAgeMs === undefined) continue;
            const choice = this.evaluateUpstream(upstream, isPrimary, floor);
            if (choice === undefined) continue;
            if (isPrimary) primary = choice;
            else if (replica === undefined || choice.expectedMs < replica.expectedMs) replica = choice;
        }
        return this.selectChoice(replica, primary, request.deadline);
    }

    /** Whether the owner of the chosen upstream has changed since the choice. */
    public hasOwnerChanged(choice: ReadChoice): boolean {
        const owner = this.owners.findOwner(choice.upstream);
        return owner !== undefined && owner !== choice.owner;
    }

    public getOrCreateEstimates(upstream: string): UpstreamEstimates {
        let estimates = this.estimates.get(upstream);
        if (estimates === undefined) {
            estimates = UpstreamEstimates.create();
            this.estimates.set(upstream, estimates);
        }
        return estimates;
    }

    /** Records an acknowledged log entry of a group. */
    public recordLogEntry(group: string, entry: LogPosition): void {
        this.getOrCreateProgress(group).record(entry, this.clock.now());
    }

    /** Records an owner's response to a read that saw all log entries up to `seen`. */
    public recordResponse(group: string, load: OwnerLoad, seen: LogPosition, elapsedMs: number): void {
        const now = this.clock.now();
        const estimates = this.getOrCreateEstimates(load.upstream);
        const applied = compareLogPositions(seen, load.applied) > 0 ? seen : load.applied;
        // The read began before its response arrived, so log entries recorded since then do not count as lag of the replica.
        const lagMs = this.getOrCreateProgress(group).measureLag(applied, now - estimates.expectedBaseLatencyMs);
        estimates.recordResponse({ ...load, applied }, elapsedMs, Math.max(0, lagMs), now);
    }

    private selectChoice(replica: ReadChoice | undefined, primary: ReadChoice | undefined, deadline: number): ReadChoice | undefined {
        if (replica === undefined || primary === undefined) return replica ?? primary;
        if (replica.expectedMs >= avoidancePenaltyMs) return primary;
        if (replica.waitMs === 0) return replica;
        if (replica.waitMs > maxWaitShare * (deadline - this.clock.now())) return primary;
        const savedMs = Math.max(0, primary.expectedMs - (replica.expectedMs - replica.waitMs));
        return replica.waitMs <= savedMs + primaryPenaltyMs ? replica : primary;
    }

    private evaluateUpstream(upstream: UpstreamSettings, isPrimary: boolean, floor: ReadFloor): ReadChoice | undefined {
        if (upstream.leaving === true || this.owners.isLeaving(upstream.id)) return undefined;
        const owner = this.owners.findOwner(upstream.id);
        if (owner === undefined) return undefined;
        const now = this.clock.now();
        const estimates = this.getOrCreateEstimates(upstream.id);
        const waitMs = isPrimary ? 0 : estimates.estimateFloorMs(floor.position, floor.knownSince, now);
        const responseMs = estimates.estimateResponseMs(upstream.slots, now) * (1 + jitterShare * this.random.next());
        const avoidanceMs = estimates.isInBackoff(now) || estimates.isFreshnessDoubtful(now) ? avoidancePenaltyMs : 0;
        return { upstream: upstream.id, owner, isPrimary, waitMs, expectedMs: waitMs + responseMs + avoidanceMs };
    }

    private getOrCreateProgress(group: string): GroupProgress {
        let progress = this.progress.get(group);
        if (progress === undefined) {
            progress = GroupProgress.create();
            this.progress.set(group, progress);
        }
        return progress;
    }
}
