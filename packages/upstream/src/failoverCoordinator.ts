import { Clock } from "@vanillarouter/base/clock";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { race } from "@vanillarouter/base/race";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Signal } from "@vanillarouter/base/signal";
import { sleep } from "@vanillarouter/base/sleep";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import { GroupDirectory } from "@vanillarouter/routing/group/groupDirectory";
import { GroupPeer } from "@vanillarouter/routing/group/groupPeer";
import { UpstreamStatus } from "@vanillarouter/routing/group/upstreamStatus";
import * as bunyan from "bunyan";
import { assessGroup } from "./assessGroup";
import { Diagnostics } from "./diagnostics";
import { ElectionReport } from "./electionReport";
import { electPrimary } from "./electPrimary";
import { failoverLimits } from "./failoverLimits";
import { GroupAssessment } from "./groupAssessment";
import { GroupCondition } from "./groupCondition";
import { UpstreamWatch } from "./upstreamWatch";

/** Candidates behind the first only act when it is gone too, so they read states less often by this factor. */
const standbyPollFactor = 3;

interface CoordinatorOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly group: string;
    /** All upstreams of the group. */
    readonly peers: readonly GroupPeer[];
    readonly groups: GroupDirectory;
    /** Position of this VM among the group's candidates; 0 acts first, each further one later. */
    readonly place: number;
    /** Whether an upstream is leaving by configuration; what it says of itself is taken into account anyway. */
    readonly isLeaving?: (upstream: string) => boolean;
    readonly logger?: bunyan;
}

/**
 * Watches the primary of one group and replaces it when it is lost or leaving. Keeps no state that another candidate
 * needs: any number of coordinators may run for a group, in any state, and the terms of the group decide.
 */
export class FailoverCoordinator {
    /** Notified after each primary change that this coordinator made. */
    public readonly elected = Signal.create<ElectionReport>();
    private readonly watch: UpstreamWatch;
    private readonly tasks: TaskGroup;
    private readonly repairing = new Set<string>();
    private assessment: GroupAssessment | undefined;
    private report: ElectionReport | undefined;
    private highestTerm = 0;
    /** When the condition that calls for an election was first seen, and how long to wait from then. */
    private pending: { readonly condition: string; readonly since: number; readonly delayMs: number; } | undefined;
    /** When the group was first seen without a usable primary, and for how long replicas had not heard it by then. */
    private trouble: { readonly since: number; readonly silenceMs: number; } | undefined;

    private constructor(private readonly options: CoordinatorOptions) {
        this.watch = UpstreamWatch.create(options.clock, options.random, options.place === 0 ? 1 : standbyPollFactor);
        this.tasks = TaskGroup.create(err => options.logger?.error({ group: options.group, err }, "coordinator task failed"));
    }

    public static create(options: CoordinatorOptions): FailoverCoordinator {
        return new FailoverCoordinator(options);
    }

    /** The last primary change that this coordinator made. */
    public get lastElection(): ElectionReport | undefined {
        return this.report;
    }

    /** What the coordinator concluded last; undefined before the first upstreams have answered. */
    public get lastAssessment(): GroupAssessment | undefined {
        return this.assessment;
    }

    /** Why the group has no primary although this coordinator would give it one; undefined if it can act. */
    public get obstacle(): Failure | undefined {
        if (this.assessment?.condition !== GroupCondition.MajorityUnreachable) return undefined;
        const { group, peers } = this.options;
        return createFailure(Diagnostics.majorityUnreachable, RunOutcome.DidNotRun, group, this.assessment.reachable, peers.length, this.quorum);
    }

    /** Runs until it is cancelled. */
    public *run(): Operation<void> {
        try {
            for (const peer of this.options.peers) this.tasks.start(this.watch.watch(peer));
            for (;;) {
                yield* this.step();
                yield* race([this.watch.updated.wait(), sleep(this.options.clock, this.chooseStepInterval())]);
            }
        }
        finally {
            yield* this.tasks.cancelAll();
        }
    }

    /** Only a condition that calls for an election has to be looked at between two status calls. */
    private chooseStepInterval(): number {
        const isQuiet = this.assessment?.condition === GroupCondition.Healthy && this.pending === undefined;
        return isQuiet ? failoverLimits.pollMs : failoverLimits.suspiciousPollMs;
    }

    private get quorum(): number {
        return Math.floor(this.options.peers.length / 2) + 1;
    }

    private *step(): Operation<void> {
        const statuses = this.watch.statuses;
        const assessment = assessGroup(statuses, this.options.peers.length, primary => this.readSilenceLimit(primary));
        const isPartial = assessment.condition === GroupCondition.MajorityUnreachable && !this.watch.isComplete(this.options.peers.length);
        if (isPartial) return;
        this.note(assessment, statuses);
        if (assessment.condition === GroupCondition.Healthy) yield* this.keepHealthy(assessment, statuses);
        else if (assessment.condition === GroupCondition.MajorityUnreachable) this.pending = undefined;
        else if (this.isDue(assessment.condition, assessment.condition === GroupCondition.TermOpen ? failoverLimits.openTermMs : 0)) {
            yield* this.elect(assessment, assessment.condition, this.findAvoided(assessment, statuses));
        }
    }

    private readSilenceLimit(primary: string): number {
        return this.watch.isRefusing(primary) ? failoverLimits.refusedSilenceLimitMs : failoverLimits.silenceLimitMs;
    }

    private *keepHealthy(assessment: GroupAssessment, statuses: readonly UpstreamStatus[]): Operation<void> {
        const { group, groups } = this.options;
        groups.learn({ group, term: assessment.term, primary: assessment.primary });
        for (const upstream of assessment.strays) this.repair(upstream, assessment);
        if (!this.isReplaceable(assessment, statuses)) {
            this.pending = undefined;
            this.trouble = undefined;
            return;
        }
        if (this.isDue("primary leaving", 0)) yield* this.elect(assessment, "primary leaving", this.findLeaving(statuses));
    }

    /** Logs a change and sets how often the upstreams are asked. */
    private note(assessment: GroupAssessment, statuses: readonly UpstreamStatus[]): void {
        const previous = this.assessment;
        this.assessment = assessment;
        this.highestTerm = Math.max(this.highestTerm, assessment.term);
        const silent = statuses.some(status => !status.isPrimary && status.primarySilenceMs >= failoverLimits.suspicionMs);
        const incomplete = statuses.length < this.options.peers.length;
        const wasComplete = previous === undefined || previous.reachable === this.options.peers.length;
        const isRefused = assessment.primary !== undefined && this.watch.isRefusing(assessment.primary);
        this.watch.setSuspicious(assessment.condition !== GroupCondition.Healthy || silent || isRefused || (incomplete && wasComplete));
        if (previous?.condition === assessment.condition && previous.primary === assessment.primary && previous.term === assessment.term) return;
        const { condition, term, primary, reachable, silenceMs } = assessment;
        const fields = { group: this.options.group, condition, term, primary, reachable, silenceMs, code: this.obstacle?.code };
        if (condition === GroupCondition.Healthy) this.options.logger?.info(fields, "group state changed");
        else this.options.logger?.warn(fields, "group state changed");
    }

    /** Whether the time of this candidate has come. The condition must hold all along; jitter is drawn once. */
    private isDue(condition: string, extraMs: number): boolean {
        const { clock, random, place } = this.options;
        if (this.pending?.condition !== condition) {
            const jitterMs = place + extraMs === 0 ? 0 : random.next() * failoverLimits.jitterMs;
            this.pending = { condition, since: clock.now(), delayMs: extraMs + place * failoverLimits.staggerMs + jitterMs };
            this.trouble ??= { since: clock.now(), silenceMs: this.assessment?.silenceMs ?? 0 };
        }
        return clock.now() - this.pending.since >= this.pending.delayMs;
    }

    private findLeaving(statuses: readonly UpstreamStatus[]): ReadonlySet<string> {
        const { isLeaving = () => false } = this.options;
        return new Set(statuses.filter(status => status.leaving || isLeaving(status.upstream)).map(status => status.upstream));
    }

    /** A lost primary may answer the candidate while its replicas cannot reach it; promoting it again would not help. */
    private findAvoided(assessment: GroupAssessment, statuses: readonly UpstreamStatus[]): ReadonlySet<string> {
        const avoided = new Set(this.findLeaving(statuses));
        if (assessment.condition === GroupCondition.PrimaryLost) avoided.add(assessment.primary!);
        return avoided;
    }

    /** A leaving primary is replaced once a majority without it has nearly everything, so that the change is short. */
    private isReplaceable(assessment: GroupAssessment, statuses: readonly UpstreamStatus[]): boolean {
        const leaving = this.findLeaving(statuses);
        const primary = statuses.find(status => status.upstream === assessment.primary);
        if (primary === undefined || !leaving.has(primary.upstream)) return false;
        const isReady = (status: UpstreamStatus): boolean =>
            !leaving.has(status.upstream) && status.primary === primary.upstream && status.primarySilenceMs < failoverLimits.suspicionMs
            && primary.received.position - status.received.position <= failoverLimits.plannedGapEntries;
        return statuses.filter(isReady).length >= this.quorum;
    }

    private *elect(assessment: GroupAssessment, reason: ElectionReport["reason"], avoided: ReadonlySet<string>): Operation<void> {
        const { clock, random, group, groups, peers, logger } = this.options;
        const { since, silenceMs } = this.trouble!;
        const term = this.highestTerm + 1;
        this.highestTerm = term;
        const result = yield* electPrimary({ clock, tasks: this.tasks, group, peers, groups, term, avoided, preferred: assessment.primary });
        if (result.err) {
            const { highestTerm = 0 } = (result.val.details ?? {}) as { readonly highestTerm?: number; };
            this.highestTerm = Math.max(this.highestTerm, highestTerm);
            logger?.warn({ group, term, code: result.val.code, reason: result.val.message }, "election failed");
            yield* sleep(clock, random.next() * failoverLimits.jitterMs);
            return;
        }
        this.pending = undefined;
        this.trouble = undefined;
        const electionMs = clock.now() - since;
        this.report = { group, term, primary: result.val, previousPrimary: assessment.primary, reason, detectionMs: silenceMs, electionMs };
        logger?.info(this.report, "primary elected");
        this.elected.notifyAll(this.report);
        yield* this.refresh();
    }

    /** Waits until every state predates no more than this moment, so that the next step does not judge by old ones. */
    private *refresh(): Operation<void> {
        this.watch.forget();
        yield* sleep(this.options.clock, failoverLimits.suspiciousPollMs);
    }

    /** Makes an upstream that follows nobody, or an older primary, follow the current one. */
    private repair(upstream: string, assessment: GroupAssessment): void {
        const peer = this.options.peers.find(candidate => candidate.upstream === upstream);
        if (peer === undefined || this.repairing.has(upstream)) return;
        this.repairing.add(upstream);
        this.tasks.start(this.makeFollow(peer, assessment));
    }

    private *makeFollow(peer: GroupPeer, assessment: GroupAssessment): Operation<void> {
        const result = yield* peer.follow(assessment.term, assessment.primary!, failoverLimits.followTimeoutMs);
        this.repairing.delete(peer.upstream);
        const { group, logger } = this.options;
        const { term, primary } = assessment;
        logger?.info({ group, upstream: peer.upstream, term, primary, code: result.err ? result.val.code : undefined }, "upstream told to follow");
    }
}
