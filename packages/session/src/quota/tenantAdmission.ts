import { Operation } from "@vanillarouter/base/operation";
import { perform } from "@vanillarouter/base/perform";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { DecayingRate } from "@vanillarouter/scheduling/decayingRate";
import { Admission } from "../model/admission";
import { HeldTokens } from "./heldTokens";
import { KeptPart } from "./keptPart";
import { PartOrder } from "./partOrder";
import { QuotaContext } from "./quotaContext";
import { QuotaGrant } from "./quotaGrant";
import { QuotaLimits } from "./quotaLimits";

/** A keeper that has not responded within this time is cut off, frozen or very slow. */
const keeperTimeoutMs = 100;
/** No operation waits longer than this for its tokens; it is refused instead. */
const maxWaitMs = 200;
/** Tokens are asked for as many operations as are expected within this time, far below the lifetime of a token. */
const expectedOperationsMs = 100;
const demandTimeConstantMs = 1_000;
/** Retry-after time while the members are not known yet. */
const unknownRetryMs = 500;

interface Waiter {
    readonly since: number;
    readonly resume: (admission: Admission) => void;
}

/**
 * Admits the operations of one tenant on one entry VM. It answers many operations at the same moment, for which it asks once, and
 * few operations through each of many VMs, for which it asks for no more tokens than it needs.
 */
export class TenantAdmission {
    private readonly held: HeldTokens;
    private readonly order: PartOrder;
    private readonly demand: DecayingRate;
    private readonly waiters = new Set<Waiter>();
    private isFetching = false;

    private constructor(private readonly context: QuotaContext, private readonly tenant: string, private parts: number) {
        this.held = HeldTokens.create(context.suspension);
        this.order = PartOrder.create(tenant, context.roster, context.health);
        this.demand = DecayingRate.create(demandTimeConstantMs, context.clock.now());
    }

    public static create(context: QuotaContext, tenant: string, parts: number): TenantAdmission {
        return new TenantAdmission(context, tenant, parts);
    }

    /** Admits or refuses one operation, with the number of parts of the configuration in force. */
    public *admit(parts: number): Operation<Admission> {
        const now = this.context.clock.now();
        this.parts = parts;
        this.demand.add(1, now);
        if (this.waiters.size === 0 && this.held.take()) return { isAdmitted: true, retryDelayMs: 0 };
        if (!this.isFetching && this.order.findFirst(parts, now) === undefined) return this.createRefusal();
        return yield* perform<Admission>({ start: resume => this.wait({ since: now, resume }) });
    }

    private wait(waiter: Waiter): () => void {
        this.waiters.add(waiter);
        // A task of its own, because the tokens are for all waiting operations, also if this one is given up.
        if (!this.isFetching) {
            this.isFetching = true;
            this.context.tasks.start(this.fetch());
        }
        return () => this.waiters.delete(waiter);
    }

    /** Asks the keepers one after another until no operation waits, or no keeper can be asked. */
    private *fetch(): Operation<void> {
        try {
            while (this.waiters.size > 0) {
                const kept = this.order.findFirst(this.parts, this.context.clock.now());
                if (kept === undefined) return;
                yield* this.askKeeper(kept);
                this.serveWaiters();
            }
        }
        finally {
            this.isFetching = false;
            this.refuseWaiters(Number.POSITIVE_INFINITY);
        }
    }

    private *askKeeper(kept: KeptPart): Operation<void> {
        const { clock, suspension, keepers, counters, health, log } = this.context;
        const { part, keeper } = kept;
        const askedAt = suspension.readClock();
        const count = this.computeCount(askedAt.at);
        const grant = yield* withTimeout(clock, keeperTimeoutMs, keepers.ask(keeper, { tenant: this.tenant, part, count }));
        counters.add("vanillarouter_quota_requests_total", `outcome="${describeOutcome(grant)}"`);
        if (health.record(keeper.id, grant !== undefined)) {
            log.warn({ keeper: keeper.id, tenant: this.tenant }, grant === undefined ? "quota.keeper-lost" : "quota.keeper-regained");
        }
        if (grant === undefined) return;
        this.held.add(Math.min(count, grant.count), askedAt);
        if (grant.count < count) this.order.block(kept, clock.now() + Math.max(1, grant.retryMs));
    }

    private computeCount(now: number): number {
        const expected = Math.floor(this.demand.read(now) * expectedOperationsMs);
        return Math.min(QuotaLimits.maxTokens, this.waiters.size + expected);
    }

    private serveWaiters(): void {
        for (const waiter of this.waiters) {
            if (!this.held.take()) break;
            this.waiters.delete(waiter);
            waiter.resume({ isAdmitted: true, retryDelayMs: 0 });
        }
        this.refuseWaiters(this.context.clock.now() - maxWaitMs);
    }

    /** Refuses the operations that have waited since a local time in milliseconds or longer. */
    private refuseWaiters(since: number): void {
        for (const waiter of this.waiters) {
            if (waiter.since > since) continue;
            this.waiters.delete(waiter);
            waiter.resume(this.createRefusal());
        }
    }

    private createRefusal(): Admission {
        const waitMs = this.order.computeNextAt(this.parts) - this.context.clock.now();
        return { isAdmitted: false, retryDelayMs: Number.isFinite(waitMs) ? Math.max(1, Math.ceil(waitMs)) : unknownRetryMs };
    }
}

function describeOutcome(grant: QuotaGrant | undefined): string {
    if (grant === undefined) return "lost";
    return grant.count > 0 ? "granted" : "refused";
}
