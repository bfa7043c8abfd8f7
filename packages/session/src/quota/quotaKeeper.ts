import { Clock } from "@vanillarouter/base/clock";
import { CounterMetrics } from "@vanillarouter/base/counterMetrics";
import { TokenBucket } from "@vanillarouter/scheduling/quota/tokenBucket";
import { ClusterView } from "../cluster/clusterView";
import { RoutingConfiguration } from "../model/routingConfiguration";
import { dividePartLimit } from "./dividePartLimit";
import { KeeperAuthority } from "./keeperAuthority";
import { KeeperRoster } from "./keeperRoster";
import { PartLimit } from "./partLimit";
import { QuotaGrant } from "./quotaGrant";
import { QuotaLimits } from "./quotaLimits";
import { QuotaRequest } from "./quotaRequest";

const grantsMetric = "vanillarouter_quota_grants_total";
/** Retry-after time of a VM that does not keep the part, or may not grant yet. The entry VM asks the other keepers meanwhile. */
const unavailableRetryMs = 250;
/** Entry VMs that compete for the tokens of a part are spread over at most this time. */
const maxSpreadMs = 250;
const msPerSecond = 1_000;

interface HeldPart {
    readonly tenant: string;
    readonly part: number;
    readonly usableFrom: number;
    readonly bucket: TokenBucket;
    /** Local time for which an entry VM was told to come back last. */
    promisedAt: number;
}

/**
 * Grants tokens of the parts of tenants' limits that this VM keeps. It answers a tenant that sends a multiple of its limit through any
 * number of VMs at once: the parts together never grant more than the limit, and the entry VMs that get no token are told to come back one
 * after another, so that they do not all ask again for the same token.
 */
export class QuotaKeeper {
    private readonly heldParts = new Map<string, HeldPart>();
    private configuration: RoutingConfiguration | undefined;
    private previousConfiguration: RoutingConfiguration | undefined;
    private configuredAt = Number.NEGATIVE_INFINITY;
    private epoch = 0;

    private constructor(
        private readonly cluster: ClusterView,
        private readonly roster: KeeperRoster,
        private readonly authority: KeeperAuthority,
        private readonly clock: Clock,
        private readonly counters: CounterMetrics,
    ) {}

    public static create(cluster: ClusterView, roster: KeeperRoster, authority: KeeperAuthority, clock: Clock, counters: CounterMetrics): QuotaKeeper {
        return new QuotaKeeper(cluster, roster, authority, clock, counters);
    }

    /** Takes over changes of the members and of the configuration. Must be called on every such change, and several times a second. */
    public refresh(): void {
        this.authority.recordAlive();
        const hasRosterChanged = this.roster.refresh();
        if (hasRosterChanged) this.authority.recordFirstList(this.roster.settledIds.size > 0);
        const hasConfigurationChanged = this.updateConfiguration();
        if (this.authority.epoch !== this.epoch) this.heldParts.clear();
        this.epoch = this.authority.epoch;
        if (!hasRosterChanged && !hasConfigurationChanged) return;
        for (const [key, { tenant, part }] of this.heldParts) {
            if (!this.roster.isKeeper(tenant, part) || this.findLimit(this.configuration, tenant, part) === undefined) this.heldParts.delete(key);
        }
    }

    /** Grants as many of the requested tokens as the part has. */
    public grant({ tenant, part, count }: QuotaRequest): QuotaGrant {
        this.refresh();
        const now = this.clock.now();
        const limit = this.findLimit(this.configuration, tenant, part);
        if (limit === undefined || !this.roster.isKeeper(tenant, part)) return this.refuse("not-keeper", unavailableRetryMs);
        if (!this.authority.isGranting) return this.refuse("unregistered", this.computeHoldBackMs(now));
        const held = this.getOrStart(tenant, part, limit);
        if (held.usableFrom > now) return this.refuse("taking-over", held.usableFrom - now);
        held.bucket.setLimit(limit.ratePerSecond, limit.capacity, now);
        const granted = held.bucket.take(count, now);
        if (granted > 0) this.counters.add(grantsMetric, "outcome=\"granted\"", granted);
        if (granted === count) return { count, retryMs: 0 };
        const { retryMs } = this.refuse("empty", this.promiseRetry(held, limit, now), count - granted);
        return { count: granted, retryMs };
    }

    /** Returns the rest of the time for which this VM is held back; a short one if it only waits to be registered. */
    private computeHoldBackMs(now: number): number {
        const restMs = this.authority.grantsFrom - now;
        return Number.isFinite(restMs) ? Math.max(unavailableRetryMs, restMs) : unavailableRetryMs;
    }

    private refuse(reason: string, retryMs: number, count = 1): QuotaGrant {
        this.counters.add(grantsMetric, `outcome="${reason}"`, count);
        return { count: 0, retryMs: Math.ceil(Math.min(QuotaLimits.maxRetryMs, Math.max(1, retryMs))) };
    }

    /** Returns the time in milliseconds until the next token that has not been promised to another entry VM. */
    private promiseRetry(held: HeldPart, { ratePerSecond }: PartLimit, now: number): number {
        const tokenMs = held.bucket.computeWaitMs(now);
        if (tokenMs === Number.POSITIVE_INFINITY) return tokenMs;
        const next = Math.max(now + tokenMs, held.promisedAt + msPerSecond / ratePerSecond);
        held.promisedAt = Math.min(next, now + Math.max(tokenMs, maxSpreadMs));
        return held.promisedAt - now;
    }

    private getOrStart(tenant: string, part: number, limit: PartLimit): HeldPart {
        const key = `${tenant} ${part}`;
        const existing = this.heldParts.get(key);
        if (existing !== undefined) return existing;
        const usableFrom = Math.max(this.authority.grantsFrom, this.roster.computeUsableFrom(tenant, part), this.computeAddedPartStart(tenant, part));
        const bucket = TokenBucket.create(limit.ratePerSecond, limit.capacity, usableFrom);
        const held = { tenant, part, usableFrom, bucket, promisedAt: Number.NEGATIVE_INFINITY };
        this.heldParts.set(key, held);
        return held;
    }

    /** Returns the time from which a part may be granted that the previous configuration did not have: all VMs divide the limit anew by then. */
    private computeAddedPartStart(tenant: string, part: number): number {
        const previousLimit = dividePartLimit(this.previousConfiguration?.tenants?.find(tenant));
        return previousLimit !== undefined && part >= previousLimit.parts ? this.configuredAt + QuotaLimits.takeoverDelayMs : Number.NEGATIVE_INFINITY;
    }

    private findLimit(configuration: RoutingConfiguration | undefined, tenant: string, part: number): PartLimit | undefined {
        const limit = dividePartLimit(configuration?.tenants?.find(tenant));
        return limit !== undefined && part < limit.parts ? limit : undefined;
    }

    private updateConfiguration(): boolean {
        const { configuration } = this.cluster;
        if (configuration === this.configuration) return false;
        this.previousConfiguration = this.configuration;
        this.configuration = configuration;
        this.configuredAt = this.clock.now();
        this.authority.isNeeded = configuration?.tenants !== undefined;
        return true;
    }
}
