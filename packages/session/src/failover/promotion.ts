import { Clock } from "@vanillarouter/base/clock";
import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { sleep } from "@vanillarouter/base/sleep";
import * as bunyan from "bunyan";
import { ServiceGroup } from "../cluster/serviceGroup";
import { SuspensionDetector } from "../freshness/suspensionDetector";
import { CommandKind } from "../model/commandKind";
import { Promoter } from "../model/promoter";
import { PromotionClaims } from "../model/promotionClaims";
import { chooseCandidate } from "./chooseCandidate";
import { collectReports } from "./collectReports";
import { findPrimaryReport } from "./findPrimaryReport";
import { GroupReport } from "./groupReport";

/** A claim is used for this time only, and no other VM takes one over before `claimMinAgeMs`. */
const claimValidMs = 1_800;
const claimMinAgeMs = 2_600;
const controlTimeoutMs = 400;
/** The group was examined just before; a primary that has come back answers within this time. */
const recheckTimeoutMs = 150;
/** How long a planned change of primary waits for a replica to receive the rest of the log. */
const catchUpMs = 700;
const promotionPollMs = 40;
const promotionTimeoutMs = 2_500;

/**
 * Replaces the primary of a group.
 *
 * Every upstream of the group other than the primary is fenced first, so that none of them receives or confirms entries
 * of the old term; only an upstream that service discovery no longer lists is left out, or one that does not answer
 * while the old primary has been demoted. The upstream with the most complete log is promoted.
 */
export class Promotion {
    private constructor(
        private readonly group: ServiceGroup,
        private readonly clock: Clock,
        private readonly suspension: SuspensionDetector,
        private readonly claims: PromotionClaims,
        private readonly promoter: Promoter,
        private readonly log: bunyan,
    ) {}

    public static create(
        group: ServiceGroup,
        clock: Clock,
        suspension: SuspensionDetector,
        claims: PromotionClaims,
        promoter: Promoter,
        log: bunyan,
    ): Promotion {
        return new Promotion(group, clock, suspension, claims, promoter, log);
    }

    /** Runs one attempt. `reports` is the latest examination of the group; `primary` the old primary's part of it. */
    public *run(reports: readonly GroupReport[], primaryId: string | undefined, reason: string): Operation<boolean> {
        const service = this.group.service;
        const startedAt = this.clock.now();
        const generation = this.suspension.check();
        const fenceToken = yield* this.claims.take(service, claimMinAgeMs);
        if (fenceToken === undefined) return false;
        // The examination may have been made before a partition healed or before another VM's promotion.
        const current = yield* collectReports(reports.map(report => report.pool), CommandKind.Status, recheckTimeoutMs);
        if (this.isSettled(reports, current)) {
            this.log.info({ service, reason, fenceToken }, "promotion.not-needed");
            return true;
        }
        const term = 1 + Math.max(...current.map(report => Math.max(report.status?.term ?? 0, report.status?.fenceTerm ?? 0)));
        this.log.info({ service, reason, fenceToken, term, previous: primaryId }, "promotion.started");
        const old = current.find(report => report.pool.entry.id === primaryId);
        const others = current.filter(report => report !== old).map(report => report.pool);
        const demoted = yield* this.demote(old, term);
        if (demoted !== undefined) yield* this.awaitCatchUp(others.map(pool => pool.entry.id), demoted);
        const fenced = yield* collectReports(others, CommandKind.Fence, controlTimeoutMs, term);
        const silent = fenced.filter(report => report.status === undefined);
        const candidate = chooseCandidate(fenced);
        if (candidate === undefined || (silent.length > 0 && demoted === undefined)) {
            this.log.warn({ service, term, silent: silent.map(report => report.pool.entry.id) }, "promotion.fence-incomplete");
            return false;
        }
        if (this.suspension.check() !== generation || this.clock.now() - startedAt > claimValidMs) {
            this.log.warn({ service, term, elapsedMs: Math.round(this.clock.now() - startedAt) }, "promotion.claim-expired");
            return false;
        }
        const accepted = yield* this.promoter.promote(service, candidate.pool.entry.id, fenceToken);
        this.log.info({ service, upstream: candidate.pool.entry.id, received: candidate.status?.received, term, fenceToken, accepted }, "promotion.requested");
        return yield* this.awaitPrimary(candidate, term, startedAt);
    }

    /** Whether a primary answers that did not answer, or did not lead, when the group was examined. */
    private isSettled(before: readonly GroupReport[], now: readonly GroupReport[]): boolean {
        const primary = findPrimaryReport(now);
        const previous = findPrimaryReport(before);
        return primary !== undefined && (previous === undefined || primary.status!.term > previous.status!.term);
    }

    private *demote(old: GroupReport | undefined, term: number): Operation<LogPosition | undefined> {
        if (old?.status?.isPrimary !== true) return undefined;
        const status = yield* old.pool.runControl(CommandKind.Demote, controlTimeoutMs, term);
        return status === undefined || status.isPrimary ? undefined : status.received;
    }

    private *awaitCatchUp(ids: readonly string[], position: LogPosition): Operation<void> {
        const giveUpAt = this.clock.now() + catchUpMs;
        while (this.clock.now() < giveUpAt) {
            const pools = ids.flatMap(id => this.group.pools.find(id) ?? []);
            const reports = yield* collectReports(pools, CommandKind.Status, controlTimeoutMs);
            const ready = reports.some(report => report.status !== undefined && compareLogPositions(report.status.received, position) >= 0);
            if (ready) return;
            yield* sleep(this.clock, promotionPollMs);
        }
    }

    private *awaitPrimary(candidate: GroupReport, term: number, startedAt: number): Operation<boolean> {
        const giveUpAt = this.clock.now() + promotionTimeoutMs;
        while (this.clock.now() < giveUpAt) {
            const status = yield* candidate.pool.runControl(CommandKind.Status, controlTimeoutMs);
            if (status?.isPrimary === true) {
                this.log.info({
                    service: this.group.service,
                    upstream: candidate.pool.entry.id,
                    term: status.term,
                    elapsedMs: Math.round(this.clock.now() - startedAt),
                }, "promotion.done");
                this.group.belief.confirm(candidate.pool.entry.id, status.term);
                return true;
            }
            yield* sleep(this.clock, promotionPollMs);
        }
        this.log.warn({ service: this.group.service, upstream: candidate.pool.entry.id, term }, "promotion.not-confirmed");
        return false;
    }
}
