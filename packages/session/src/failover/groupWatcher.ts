import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { race } from "@vanillarouter/base/race";
import { sleep } from "@vanillarouter/base/sleep";
import { ClusterState } from "../cluster/clusterState";
import { ServiceGroup } from "../cluster/serviceGroup";
import { SuspensionDetector } from "../freshness/suspensionDetector";
import { CommandKind } from "../model/commandKind";
import { collectReports } from "./collectReports";
import { findPrimaryReport } from "./findPrimaryReport";
import { Promotion } from "./promotion";
import { PromotionReason } from "./promotionReason";
import { UpstreamReport } from "./upstreamReport";

const statusTimeoutMs = 300;
const checkIntervalMs = 60;
const isolationProbeIntervalMs = 400;
/** A primary must have been missing or leaving for this time before it is replaced, so that one lost response changes nothing. */
const minOutageMs = 400;
/** Additional delay for each gateway ahead of this VM in the promotion order, which differs by group. */
const delayPerVmMs = 40;
/** A fence that lasts this long was left by a promotion that did not finish. */
const abandonedFenceMs = 2_600;

/** Monitors the primary of a group and replaces it when it has failed, is unreachable or is leaving. */
export class GroupWatcher {
    private pendingPromotion: { readonly reason: PromotionReason; readonly since: number; } | undefined;
    private readonly reportedContradictions = new Set<string>();

    private constructor(
        private readonly group: ServiceGroup,
        private readonly cluster: ClusterState,
        private readonly clock: Clock,
        private readonly suspension: SuspensionDetector,
        private readonly promotion: Promotion,
        private readonly onNoResponse: (reason: string) => void,
    ) {}

    /** `onNoResponse` is called with a reason when an upstream of the group does not respond. */
    public static create(
        group: ServiceGroup,
        cluster: ClusterState,
        clock: Clock,
        suspension: SuspensionDetector,
        promotion: Promotion,
        onNoResponse: (reason: string) => void,
    ): GroupWatcher {
        return new GroupWatcher(group, cluster, clock, suspension, promotion, onNoResponse);
    }

    public *run(): Operation<never> {
        for (;;) {
            if (!this.cluster.gateways.isGateway(this.group.service)) {
                yield* this.cluster.topologyChanged.wait();
                continue;
            }
            this.checkDiscoveryEntries();
            if (!this.group.primaryTracker.isSuspected) {
                this.pendingPromotion = undefined;
                yield* this.waitForSuspicion();
                continue;
            }
            yield* this.checkGroup();
            if (this.group.primaryTracker.isSuspected) yield* sleep(this.clock, checkIntervalMs);
        }
    }

    /** Waits until the primary is suspected or the topology changes. Meanwhile it probes unreachable upstreams if this VM is isolated. */
    private *waitForSuspicion(): Operation<void> {
        yield* race<void>([
            this.group.primaryTracker.suspected.wait(),
            this.cluster.topologyChanged.wait(),
            sleep(this.clock, isolationProbeIntervalMs),
        ]);
        if (this.group.isIsolated) yield* this.probeUnreachable();
    }

    /** An isolated VM sends no statements, so only a probe can show that its upstreams are reachable again. */
    private *probeUnreachable(): Operation<void> {
        const pools = this.group.pools.list(this.group.service).filter(pool => !pool.isReachable);
        yield* collectReports(pools, CommandKind.Status, statusTimeoutMs);
    }

    /** Suspects the primary if the entries in service discovery contradict it. */
    private checkDiscoveryEntries(): void {
        const reason = this.findContradiction();
        if (reason === undefined) return;
        // An upstream that cannot update its entry leaves the contradiction in place, so each one raises suspicion only once per term.
        const contradictionKey = `${reason} ${this.group.primaryTracker.primary?.term}`;
        if (this.reportedContradictions.has(contradictionKey)) return;
        this.reportedContradictions.add(contradictionKey);
        this.group.primaryTracker.suspect(reason);
    }

    private findContradiction(): string | undefined {
        const primaryTracker = this.group.primaryTracker;
        const upstreams = this.cluster.listUpstreams(this.group.service);
        const primary = upstreams.find(upstream => upstream.id === primaryTracker.primary?.id);
        if (primary === undefined) return `primary ${primaryTracker.primary?.id} is not listed`;
        if (primary.isLeaving) return `primary ${primary.id} is leaving`;
        if (!primary.claimsPrimary) return `primary ${primary.id} is listed as a replica`;
        const otherPrimary = upstreams.find(upstream => upstream.claimsPrimary && upstream !== primary);
        return otherPrimary === undefined ? undefined : `upstream ${otherPrimary.id} is listed as primary`;
    }

    private *checkGroup(): Operation<void> {
        const pools = this.group.pools.list(this.group.service);
        if (pools.length === 0) return;
        const generation = this.suspension.check();
        const checkedAt = this.clock.now();
        const collected = yield* collectReports(pools, CommandKind.Status, statusTimeoutMs, undefined, report => this.recordNewPrimary(report));
        // Nothing has to be fenced where nothing listens.
        const reports = collected.filter(report => !report.pool.listener.isStaleEntry);
        if (this.suspension.check() !== generation) return;
        const unresponsive = reports.find(report => report.status === undefined);
        if (unresponsive !== undefined) this.onNoResponse(`upstream ${unresponsive.pool.upstream.id} does not respond`);
        const primary = findPrimaryReport(reports);
        const promotionReason = this.findPromotionReason(reports, primary);
        if (primary !== undefined && promotionReason !== PromotionReason.Fenced) {
            this.group.primaryTracker.recordPrimary(primary.pool.upstream.id, primary.status!.term);
        }
        if (promotionReason !== undefined) this.group.primaryTracker.suspect(promotionReason);
        const isDue = this.updatePendingPromotion(this.canReplacePrimary(reports, primary) ? promotionReason : undefined, checkedAt);
        if (promotionReason === undefined || !isDue) return;
        const oldPrimaryId = primary?.pool.upstream.id ?? this.group.primaryTracker.primary?.id;
        if (yield* this.promotion.run(reports, oldPrimaryId, promotionReason)) this.pendingPromotion = undefined;
    }

    /** Records the current reason for a promotion. Returns whether it has lasted long enough for this VM to act. */
    private updatePendingPromotion(reason: PromotionReason | undefined, checkedAt: number): boolean {
        if (reason === undefined) {
            this.pendingPromotion = undefined;
            return false;
        }
        if (this.pendingPromotion?.reason !== reason) this.pendingPromotion = { reason, since: checkedAt };
        const requiredMs = (reason === PromotionReason.Fenced ? abandonedFenceMs : minOutageMs) + this.findPromotionIndex() * delayPerVmMs;
        return this.clock.now() - this.pendingPromotion.since >= requiredMs;
    }

    /** Switches to a new primary as soon as it responds, without waiting for the other upstreams. */
    private recordNewPrimary(report: UpstreamReport): void {
        const known = this.group.primaryTracker.primary;
        if (report.status?.isPrimary === true && known !== undefined && report.status.term > known.term) {
            this.group.primaryTracker.recordPrimary(report.pool.upstream.id, report.status.term);
        }
    }

    /**
     * Whether this VM can carry out a promotion. A VM that reaches none of the other upstreams is probably isolated itself. If one
     * of them does not respond, it cannot be fenced, and the promotion is possible only if the old primary can be demoted.
     */
    private canReplacePrimary(reports: readonly UpstreamReport[], primary: UpstreamReport | undefined): boolean {
        const oldPrimaryId = primary?.pool.upstream.id ?? this.group.primaryTracker.primary?.id;
        const others = reports.filter(report => report.pool.upstream.id !== oldPrimaryId);
        const unresponsive = others.filter(report => report.status === undefined).length;
        return others.length > 0 && unresponsive < others.length && (unresponsive === 0 || primary !== undefined);
    }

    private findPromotionReason(reports: readonly UpstreamReport[], primary: UpstreamReport | undefined): PromotionReason | undefined {
        if (primary === undefined) return PromotionReason.NoPrimary;
        const others = reports.flatMap(report =>
            report !== primary && report.status !== undefined ? [{ upstream: report.pool.upstream, status: report.status }] : []
        );
        if (others.some(other => other.status.fenceTerm > primary.status!.term)) return PromotionReason.Fenced;
        return primary.pool.upstream.isLeaving && others.some(other => !other.upstream.isLeaving) ? PromotionReason.Leaving : undefined;
    }

    /** Returns this VM's index in the order in which the gateways attempt a promotion. */
    private findPromotionIndex(): number {
        return this.cluster.gateways.list(this.group.service).findIndex(member => member.id === this.cluster.vmId);
    }
}
