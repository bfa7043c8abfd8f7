import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { sleep } from "@vanillarouter/base/sleep";
import { ServiceGroup } from "../cluster/serviceGroup";
import { CommandKind } from "../model/commandKind";
import { chooseCandidate } from "./chooseCandidate";
import { collectReports } from "./collectReports";
import { findPrimaryReport } from "./findPrimaryReport";
import { PromotionContext } from "./promotionContext";
import { UpstreamReport } from "./upstreamReport";

/** The holder of a claim stops using it after this time. It is shorter than `claimMinAgeMs`, the age from which another VM may take the claim. */
const claimValidMs = 1_800;
const claimMinAgeMs = 2_600;
const controlTimeoutMs = 400;
/** Timeout of the check after taking the claim. It is short, because a recovered primary responds within this time. */
const recheckTimeoutMs = 150;
/** How long a planned switchover waits for a replica to receive the rest of the log. */
const catchUpTimeoutMs = 700;
const promotionPollMs = 40;
const promotionTimeoutMs = 2_500;

/**
 * Replaces the primary of a group.
 *
 * Every upstream of the group other than the primary is fenced first, so that none of them receives or confirms log
 * entries of the old term. The only exceptions are an upstream that service discovery no longer lists, and one that does not respond
 * if the old primary has been demoted. Then the upstream with the most complete log is promoted.
 */
export class Promotion {
    private constructor(private readonly group: ServiceGroup, private readonly context: PromotionContext) {}

    public static create(group: ServiceGroup, context: PromotionContext): Promotion {
        return new Promotion(group, context);
    }

    /** Runs one attempt. `reports` is the result of the latest status check, `oldPrimaryId` the primary to replace. Returns whether it succeeded. */
    public *run(reports: readonly UpstreamReport[], oldPrimaryId: string | undefined, reason: string): Operation<boolean> {
        const succeeded = yield* this.attempt(reports, oldPrimaryId, reason);
        this.context.metrics.counters.add("vanillarouter_promotions_total", `service="${this.group.service}",outcome="${succeeded ? "settled" : "failed"}"`);
        return succeeded;
    }

    private *attempt(reports: readonly UpstreamReport[], oldPrimaryId: string | undefined, reason: string): Operation<boolean> {
        const service = this.group.service;
        const startedAt = this.context.clock.now();
        const generation = this.context.suspension.check();
        const fenceToken = yield* this.context.claims.take(service, claimMinAgeMs);
        if (fenceToken === undefined) return false;
        // Checks again, because a network partition may have ended or another VM may have promoted an upstream since `reports` were collected.
        const currentReports = yield* collectReports(reports.map(report => report.pool), CommandKind.Status, recheckTimeoutMs);
        if (this.hasNewPrimary(reports, currentReports)) {
            this.context.log.info({ service, reason, fenceToken }, "promotion.not-needed");
            return true;
        }
        const term = 1 + Math.max(...currentReports.map(report => Math.max(report.status?.term ?? 0, report.status?.fenceTerm ?? 0)));
        this.context.log.info({ service, reason, fenceToken, term, previous: oldPrimaryId }, "promotion.started");
        const oldPrimary = currentReports.find(report => report.pool.upstream.id === oldPrimaryId);
        const others = currentReports.filter(report => report !== oldPrimary).map(report => report.pool);
        const demoted = yield* this.demote(oldPrimary, term);
        if (demoted !== undefined) yield* this.waitForCatchUp(others.map(pool => pool.upstream.id), demoted);
        const fenceReports = yield* collectReports(others, CommandKind.Fence, controlTimeoutMs, term);
        const unresponsive = fenceReports.filter(report => report.status === undefined);
        const candidate = chooseCandidate(fenceReports);
        if (candidate === undefined || (unresponsive.length > 0 && demoted === undefined)) {
            this.context.log.warn({ service, term, silent: unresponsive.map(report => report.pool.upstream.id) }, "promotion.fence-incomplete");
            return false;
        }
        const isClaimValid = (): boolean =>
            this.context.suspension.check() === generation
            && this.context.clock.now() - startedAt <= claimValidMs
            && this.context.claims.isCurrent(fenceToken);
        if (!isClaimValid()) {
            this.context.log.warn({ service, term, elapsedMs: Math.round(this.context.clock.now() - startedAt) }, "promotion.claim-expired");
            return false;
        }
        this.recordPhase("fenced", startedAt);
        const accepted = yield* this.context.promoter.promote(service, candidate.pool.upstream.id, fenceToken, isClaimValid);
        this.context.log.info(
            { service, upstream: candidate.pool.upstream.id, received: candidate.status?.received, term, fenceToken, accepted },
            "promotion.requested",
        );
        return yield* this.waitForPrimary(candidate, term, startedAt);
    }

    /** Whether a primary responds now that did not respond, or was not primary, in the earlier check. */
    private hasNewPrimary(previousReports: readonly UpstreamReport[], currentReports: readonly UpstreamReport[]): boolean {
        const primary = findPrimaryReport(currentReports);
        const previous = findPrimaryReport(previousReports);
        return primary !== undefined && (previous === undefined || primary.status!.term > previous.status!.term);
    }

    private recordPhase(phase: string, startedAt: number): void {
        this.context.metrics.promotionLatencies.record(`service="${this.group.service}",phase="${phase}"`, this.context.clock.now() - startedAt);
    }

    private *demote(oldPrimary: UpstreamReport | undefined, term: number): Operation<LogPosition | undefined> {
        if (oldPrimary?.status?.isPrimary !== true) return undefined;
        const status = yield* oldPrimary.pool.runControl(CommandKind.Demote, controlTimeoutMs, term);
        return status === undefined || status.isPrimary ? undefined : status.received;
    }

    private *waitForCatchUp(ids: readonly string[], position: LogPosition): Operation<void> {
        const waitDeadline = this.context.clock.now() + catchUpTimeoutMs;
        while (this.context.clock.now() < waitDeadline) {
            const pools = ids.flatMap(id => this.group.pools.find(id) ?? []);
            const reports = yield* collectReports(pools, CommandKind.Status, controlTimeoutMs);
            const isCaughtUp = reports.some(report => report.status !== undefined && compareLogPositions(report.status.received, position) >= 0);
            if (isCaughtUp) return;
            yield* sleep(this.context.clock, promotionPollMs);
        }
    }

    private *waitForPrimary(candidate: UpstreamReport, term: number, startedAt: number): Operation<boolean> {
        const waitDeadline = this.context.clock.now() + promotionTimeoutMs;
        while (this.context.clock.now() < waitDeadline) {
            const status = yield* candidate.pool.runControl(CommandKind.Status, controlTimeoutMs);
            if (status?.isPrimary === true) {
                this.context.log.info({
                    service: this.group.service,
                    upstream: candidate.pool.upstream.id,
                    term: status.term,
                    elapsedMs: Math.round(this.context.clock.now() - startedAt),
                }, "promotion.done");
                this.recordPhase("promoted", startedAt);
                this.group.primaryTracker.recordPrimary(candidate.pool.upstream.id, status.term);
                return true;
            }
            yield* sleep(this.context.clock, promotionPollMs);
        }
        this.context.log.warn({ service: this.group.service, upstream: candidate.pool.upstream.id, term }, "promotion.not-confirmed");
        return false;
    }
}
