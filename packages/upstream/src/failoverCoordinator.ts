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
import { UpstreamControl } from "@vanillarouter/routing/group/upstreamControl";
import { UpstreamStatus } from "@vanillarouter/routing/group/upstreamStatus";
import * as bunyan from "bunyan";
import { assessGroup } from "./assessGroup";
import { Diagnostics } from "./diagnostics";
import { ElectionReport } from "./electionReport";
import { electPrimary } from "./electPrimary";
import { failoverLimits } from "./failoverLimits";
import { GroupAssessment } from "./groupAssessment";
import { GroupCondition } from "./groupCondition";
import { UpstreamStatusPoller } from "./upstreamStatusPoller";

/** Factor for the poll interval of all candidates but the first. They act only if the first has failed too, so they can poll less often. */
const standbyPollFactor = 3;

interface CoordinatorOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly group: string;
    /** All upstreams of the group. */
    readonly controls: readonly UpstreamControl[];
    readonly groups: GroupDirectory;
    /** Place of this VM in the group's order of candidates, from 0. The candidate at place 0 acts first; each further one waits longer. */
    readonly place: number;
    /** Whether the configuration marks an upstream as leaving. An upstream that reports itself as leaving counts in any case. */
    readonly isLeaving?: (upstream: string) => boolean;
    readonly logger?: bunyan;
}

/**
 * Monitors the primary of one group and replaces it when it is lost or leaving. The VMs that run a coordinator for a group
 * are its candidates. A coordinator holds no state that another candidate needs. Any number of them may run for a group, and
 * each may start, pause or stop at any time, because the terms of the group decide conflicts between them.
 */
export class FailoverCoordinator {
    /** Notified after each primary change that this coordinator made. */
    public readonly elected = Signal.create<ElectionReport>();
    private readonly poller: UpstreamStatusPoller;
    private readonly tasks: TaskGroup;
    private readonly repairing = new Set<string>();
    private assessment: GroupAssessment | undefined;
    private lastReport: ElectionReport | undefined;
    private highestTerm = 0;
    /** Condition that requires an election, when it was first observed, and how long to wait from then. */
    private pendingElection: { readonly condition: string; readonly since: number; readonly delayMs: number; } | undefined;
    /** When the group was first observed without a usable primary, and how long replicas had been without contact by then. */
    private unavailability: { readonly since: number; readonly silenceMs: number; } | undefined;

    private constructor(private readonly options: CoordinatorOptions) {
        this.poller = UpstreamStatusPoller.create(options.clock, options.random, options.place === 0 ? 1 : standbyPollFactor);
        this.tasks = TaskGroup.create(err => options.logger?.error({ group: options.group, err }, "coordinator task failed"));
    }

    public static create(options: CoordinatorOptions): FailoverCoordinator {
        return new FailoverCoordinator(options);
    }

    /** The last primary change that this coordinator made. */
    public get lastElection(): ElectionReport | undefined {
        return this.lastReport;
    }

    /** The latest assessment of the group; undefined before the first upstreams have responded. */
    public get lastAssessment(): GroupAssessment | undefined {
        return this.assessment;
    }

    /** The failure that prevents this coordinator from electing a primary; undefined if nothing prevents it. */
    public get blockingFailure(): Failure | undefined {
        if (this.assessment?.condition !== GroupCondition.MajorityUnreachable) return undefined;
        const { group, controls } = this.options;
        return createFailure(Diagnostics.majorityUnreachable, RunOutcome.DidNotRun, group, this.assessment.reachable, controls.length, this.quorum);
    }

    /** Runs until it is cancelled. */
    public *run(): Operation<void> {
        try {
            for (const control of this.options.controls) this.tasks.start(this.poller.poll(control));
            for (;;) {
                yield* this.reassess();
                yield* race([this.poller.updated.wait(), sleep(this.options.clock, this.chooseReassessmentInterval())]);
            }
        }
        finally {
            yield* this.tasks.cancelAll();
        }
    }

    /** Reassessments between two status calls are needed only while the group is not healthy or an election is pending. */
    private chooseReassessmentInterval(): number {
        const isIdle = this.assessment?.condition === GroupCondition.Healthy && this.pendingElection === undefined;
        return isIdle ? failoverLimits.pollIntervalMs : failoverLimits.suspiciousPollIntervalMs;
    }

    private get quorum(): number {
        return Math.floor(this.options.controls.length / 2) + 1;
    }

    /**
     * Assesses the group and, if an election is due, runs one attempt of it. Does nothing as long as no majority is reachable and
     * some upstream has not been polled yet.
     */
    private *reassess(): Operation<void> {
        const statuses = this.poller.statuses;
        const assessment = assessGroup(statuses, this.options.controls.length, primary => this.getSilenceLimit(primary));
        const isPartial = assessment.condition === GroupCondition.MajorityUnreachable && !this.poller.isComplete(this.options.controls.length);
        if (isPartial) return;
        this.recordAssessment(assessment, statuses);
        if (assessment.condition === GroupCondition.Healthy) yield* this.maintainHealthyGroup(assessment, statuses);
        else if (assessment.condition === GroupCondition.MajorityUnreachable) this.pendingElection = undefined;
        else if (this.isElectionDue(assessment.condition, assessment.condition === GroupCondition.TermOpen ? failoverLimits.openTermTimeoutMs : 0)) {
            yield* this.elect(assessment, assessment.condition, this.findAvoided(assessment, statuses));
        }
    }

    private getSilenceLimit(primary: string): number {
        return this.poller.isRefusing(primary) ? failoverLimits.refusedSilenceLimitMs : failoverLimits.silenceLimitMs;
    }

    private *maintainHealthyGroup(assessment: GroupAssessment, statuses: readonly UpstreamStatus[]): Operation<void> {
        const { group, groups } = this.options;
        groups.learn({ group, term: assessment.term, primary: assessment.primary });
        for (const upstream of assessment.nonFollowers) this.startRepair(upstream, assessment);
        if (!this.isReadyForHandover(assessment, statuses)) {
            this.pendingElection = undefined;
            this.unavailability = undefined;
            return;
        }
        if (this.isElectionDue("primary leaving", 0)) yield* this.elect(assessment, "primary leaving", this.findLeaving(statuses));
    }

    /** Stores the assessment, logs it if it has changed, and sets how often the upstreams are polled. */
    private recordAssessment(assessment: GroupAssessment, statuses: readonly UpstreamStatus[]): void {
        const previous = this.assessment;
        this.assessment = assessment;
        this.highestTerm = Math.max(this.highestTerm, assessment.term);
        const isContactOverdue = statuses.some(status => !status.isPrimary && status.primarySilenceMs >= failoverLimits.suspicionSilenceMs);
        const isIncomplete = statuses.length < this.options.controls.length;
        const wasComplete = previous === undefined || previous.reachable === this.options.controls.length;
        const isRefused = assessment.primary !== undefined && this.poller.isRefusing(assessment.primary);
        this.poller.setSuspicious(assessment.condition !== GroupCondition.Healthy || isContactOverdue || isRefused || (isIncomplete && wasComplete));
        if (previous?.condition === assessment.condition && previous.primary === assessment.primary && previous.term === assessment.term) return;
        const { condition, term, primary, reachable, silenceMs } = assessment;
        const fields = { group: this.options.group, condition, term, primary, reachable, silenceMs, code: this.blockingFailure?.code };
        if (condition === GroupCondition.Healthy) this.options.logger?.info(fields, "group state changed");
        else this.options.logger?.warn(fields, "group state changed");
    }

    /**
     * Starts this candidate's delay if the condition is new, and returns whether the delay has elapsed. The condition must
     * persist during the delay; the jitter is drawn only once. `extraMs` is added to the delay in milliseconds.
     */
    private isElectionDue(condition: string, extraMs: number): boolean {
        const { clock, random, place } = this.options;
        if (this.pendingElection?.condition !== condition) {
            const jitterMs = place + extraMs === 0 ? 0 : random.next() * failoverLimits.maxJitterMs;
            this.pendingElection = { condition, since: clock.now(), delayMs: extraMs + place * failoverLimits.candidateDelayMs + jitterMs };
            this.unavailability ??= { since: clock.now(), silenceMs: this.assessment?.silenceMs ?? 0 };
        }
        return clock.now() - this.pendingElection.since >= this.pendingElection.delayMs;
    }

    private findLeaving(statuses: readonly UpstreamStatus[]): ReadonlySet<string> {
        const { isLeaving = () => false } = this.options;
        return new Set(statuses.filter(status => status.leaving || isLeaving(status.upstream)).map(status => status.upstream));
    }

    /**
     * Returns the upstreams that should not be promoted: those that are leaving, and a lost primary. A lost primary may
     * respond to the candidate while its replicas cannot reach it, and promoting it again would not help.
     */
    private findAvoided(assessment: GroupAssessment, statuses: readonly UpstreamStatus[]): ReadonlySet<string> {
        const avoided = new Set(this.findLeaving(statuses));
        if (assessment.condition === GroupCondition.PrimaryLost) avoided.add(assessment.primary!);
        return avoided;
    }

    /**
     * Whether the primary is leaving and a majority without it has received nearly all log entries. A leaving primary is replaced
     * only then, so that the interruption is short.
     */
    private isReadyForHandover(assessment: GroupAssessment, statuses: readonly UpstreamStatus[]): boolean {
        const leaving = this.findLeaving(statuses);
        const primary = statuses.find(status => status.upstream === assessment.primary);
        if (primary === undefined || !leaving.has(primary.upstream)) return false;
        const isReady = (status: UpstreamStatus): boolean =>
            !leaving.has(status.upstream) && status.primary === primary.upstream && status.primarySilenceMs < failoverLimits.suspicionSilenceMs
            && primary.received.position - status.received.position <= failoverLimits.maxHandoverLagEntries;
        return statuses.filter(isReady).length >= this.quorum;
    }

    private *elect(assessment: GroupAssessment, reason: ElectionReport["reason"], avoided: ReadonlySet<string>): Operation<void> {
        const { clock, random, group, groups, controls, logger } = this.options;
        const { since, silenceMs } = this.unavailability!;
        const term = this.highestTerm + 1;
        this.highestTerm = term;
        const result = yield* electPrimary({ clock, tasks: this.tasks, group, controls, groups, term, avoided, preferred: assessment.primary });
        if (result.err) {
            const { highestTerm = 0 } = (result.val.details ?? {}) as { readonly highestTerm?: number; };
            this.highestTerm = Math.max(this.highestTerm, highestTerm);
            logger?.warn({ group, term, code: result.val.code, reason: result.val.message }, "election failed");
            yield* sleep(clock, random.next() * failoverLimits.maxJitterMs);
            return;
        }
        this.pendingElection = undefined;
        this.unavailability = undefined;
        const electionMs = clock.now() - since;
        this.lastReport = { group, term, primary: result.val, previousPrimary: assessment.primary, reason, detectionMs: silenceMs, electionMs };
        logger?.info(this.lastReport, "primary elected");
        this.elected.notifyAll(this.lastReport);
        yield* this.refreshStatuses();
    }

    /** Discards all statuses and waits for new ones, so that the next assessment does not use outdated ones. */
    private *refreshStatuses(): Operation<void> {
        this.poller.discardStatuses();
        yield* sleep(this.options.clock, failoverLimits.suspiciousPollIntervalMs);
    }

    /** Makes an upstream that follows no primary or an outdated one follow the current primary. */
    private startRepair(upstream: string, assessment: GroupAssessment): void {
        const control = this.options.controls.find(candidate => candidate.upstream === upstream);
        if (control === undefined || this.repairing.has(upstream)) return;
        this.repairing.add(upstream);
        this.tasks.start(this.sendFollow(control, assessment));
    }

    private *sendFollow(control: UpstreamControl, assessment: GroupAssessment): Operation<void> {
        const result = yield* control.follow(assessment.term, assessment.primary!, failoverLimits.followTimeoutMs);
        this.repairing.delete(control.upstream);
        const { group, logger } = this.options;
        const { term, primary } = assessment;
        logger?.info({ group, upstream: control.upstream, term, primary, code: result.err ? result.val.code : undefined }, "upstream told to follow");
    }
}
