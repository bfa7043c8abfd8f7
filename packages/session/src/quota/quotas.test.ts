import { Operation } from "@vanillarouter/base/operation";
import { TokenBucket } from "@vanillarouter/scheduling/quota/tokenBucket";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Admission } from "../model/admission";
import { Tenant } from "../model/tenant";
import { QuotaModel } from "../testing/quotaModel";
import { QuotaVm } from "../testing/quotaVm";
import { QuotaLimits } from "./quotaLimits";

const seed = 20261206;
const runs = 200;
const sentMultiple = 4;
const windowMs = 5_000;
/** The time within which a configuration is in force, less the lifetime of a token that was granted just before. */
const maxLagMs = 4_400;
/** Limits are about 1.6 times a tenant's usual load. */
const usualFraction = 1 / 1.6;
/** Share of the operations below the limit that may be refused. Any of them is lost service. */
const maxLostShare = 0.005;

function createTenant(ratePerSecond: number, name = "t"): Tenant {
    return { name, ratePerSecond, burst: ratePerSecond };
}

/**
 * Returns by how many operations the fullest window in a part of the times exceeds rate x 5.5 + burst + 2 for each part, which is what
 * the design promises. The bound of the work page, (rate x 5 + burst) x 1.1 + 20, is always higher.
 */
function computeExcess(times: readonly number[], limit: number, from = 0): number {
    const considered = times.filter(time => time >= from);
    let first = 0;
    let most = 0;
    considered.forEach((time, index) => {
        while (considered[first]! <= time - windowMs) first++;
        most = Math.max(most, index - first + 1);
    });
    return most - (limit * 5.5 + limit + 2 * QuotaLimits.maxParts);
}

const eventKinds = ["kill", "kill all", "start", "cut", "join", "freeze", "suspend", "step", "store", "lower"] as const;
const event = fc.record({
    kind: fc.constantFrom(...eventKinds),
    vm: fc.nat(),
    /** Time until the next event, in which the tenant sends or pauses. */
    afterMs: fc.integer({ min: 0, max: 8_000 }),
    isSending: fc.boolean(),
    lengthMs: fc.oneof(fc.integer({ min: 1, max: 1_000 }), fc.integer({ min: 1, max: 14_000 }), fc.integer({ min: 1, max: 45_000 })),
});
const history = fc.record({
    seed: fc.nat(),
    count: fc.constantFrom(1, 3, 6, 14),
    limit: fc.constantFrom(39, 268),
    events: fc.array(event, { minLength: 3, maxLength: 12, size: "max" }),
});
type History = typeof history extends fc.Arbitrary<infer T> ? T : never;

function applyEvent(model: QuotaModel, { kind, vm, lengthMs }: History["events"][number], lowered: Tenant): void {
    const ids = [...model.vms.keys()];
    const id = ids[vm % ids.length]!;
    const target: QuotaVm = model.vms.get(id)!;
    const later = (action: () => void): void => void model.clock.startTimer(lengthMs, action);
    switch (kind) {
        case "kill":
            model.kill(id);
            return later(() => model.start(id));
        case "kill all":
            ids.forEach(other => model.kill(other));
            return later(() => ids.forEach(other => model.start(other)));
        case "start":
            return ids.filter(other => model.vms.get(other)!.isAlive === false).forEach(other => model.start(other));
        case "join":
            for (let index = 0; index <= vm % 4; index++) model.start(`vm${ids.length + index}`);
            return;
        case "cut":
            target.isCutOff = true;
            return later(() => target.isCutOff = false);
        case "freeze":
        case "suspend":
            target.freeze();
            return later(() => target.wake(kind === "suspend"));
        case "step":
            target.stepMs += lengthMs - 7_000;
            return;
        case "store":
            model.isStoreDown = true;
            return later(() => model.isStoreDown = false);
        case "lower":
            return model.configure([lowered]);
    }
}

/** Plays a tenant that sends far more than its limit through all VMs. Returns the excess over the bound. */
function play({ seed: modelSeed, count, limit, events }: History, replaceAdmission: (vm: QuotaVm) => void = () => undefined): number {
    const model = QuotaModel.create(modelSeed, count, [createTenant(limit)], maxLagMs);
    for (const vm of model.vms.values()) replaceAdmission(vm);
    const lowered = createTenant(Math.ceil(limit / 8));
    let loweredAt = Number.POSITIVE_INFINITY;
    for (const entry of events) {
        applyEvent(model, entry, lowered);
        if (entry.kind === "lower") loweredAt = Math.min(loweredAt, model.clock.now());
        for (const vm of model.vms.values()) replaceAdmission(vm);
        if (entry.isSending) model.send("t", limit * sentMultiple, entry.afterMs);
        model.clock.advance(entry.afterMs);
    }
    model.send("t", limit * sentMultiple, 12_000);
    model.clock.advance(12_000);
    const times = model.admitted.get("t") ?? [];
    return Math.max(computeExcess(times, limit), computeExcess(times, lowered.ratePerSecond!, loweredAt + windowMs));
}

// Guards against a limit that is exceeded because two VMs grant the same part, or tokens outlive their keeper's state.
test("no window exceeds the bound while VMs are killed, restarted, cut off, frozen, added and know different members and limits", () => {
    fc.assert(fc.property(history, played => assert.ok(play(played) <= 0)), { seed, numRuns: runs });
});

// Guards against a property that any admission would pass.
test("a bucket in each VM exceeds the bound in the same histories", () => {
    const replaced = new WeakSet<QuotaVm>();
    const replace = (vm: QuotaVm): void => {
        if (replaced.has(vm)) return;
        replaced.add(vm);
        const bucket = TokenBucket.create(268, 268, vm.clock.now());
        Object.assign(vm, {
            admission: {
                *admit(): Operation<Admission> {
                    return { isAdmitted: bucket.take(1, vm.clock.now()) === 1, retryDelayMs: 0 };
                },
            },
        });
    };
    const result = fc.check(fc.property(history, played => play({ ...played, limit: 268 }, replace) <= 0), { seed, numRuns: runs });
    assert.ok(result.failed);
});

// Guards against a part that is granted twice: by a keeper that has been cut off for so long that it has not heard of VMs that joined, and by these.
test("no window exceeds the bound when VMs join while all keepers are cut off", () => {
    for (let modelSeed = 1; modelSeed <= 40; modelSeed++) {
        const limit = 268;
        const model = QuotaModel.create(modelSeed, 1 + (modelSeed - 1) % 3, [createTenant(limit)], maxLagMs);
        model.clock.advance(9_000 + modelSeed * 37);
        const keepers = [...model.vms.values()];
        for (const vm of keepers) vm.isCutOff = true;
        for (let index = 0; index < 6; index++) model.start(`vm${keepers.length + index}`);
        model.clock.startTimer(13_000, () => keepers.forEach(vm => vm.isCutOff = false));
        model.clock.advance(4_500);
        model.send("t", limit * sentMultiple, 24_000);
        model.clock.advance(24_000);
        assert.ok(computeExcess(model.admitted.get("t") ?? [], limit) <= 0, `seed ${modelSeed}`);
    }
});

/** Returns the share of operations that were refused although one bucket for all VMs would have admitted them. */
function computeLostShare(model: QuotaModel, { name, ratePerSecond, burst }: Tenant): number {
    const admitted = model.admitted.get(name) ?? [];
    const all = [...admitted, ...model.refused.get(name) ?? []].sort((first, second) => first - second);
    const bucket = TokenBucket.create(ratePerSecond!, burst!, all[0]! - 1_000);
    const possible = all.filter(time => bucket.take(1, time) === 1).length;
    return (possible - admitted.length) / all.length;
}

// Guards against refusals below the limit, which are lost service: by parts that are empty while others are not, or tokens that expire unused.
test("a tenant below its limit is hardly ever refused, through 1, 6 or 90 VMs", () => {
    for (const vms of [1, 6, 90]) {
        for (const limit of [5, 26, 72, 268]) {
            const model = QuotaModel.create(seed, 90, [createTenant(limit)], 0);
            model.clock.advance(5_000);
            model.send("t", limit * usualFraction, 40_000, [...model.vms.keys()].slice(0, vms));
            model.clock.advance(41_000);
            const share = computeLostShare(model, createTenant(limit));
            assert.ok(share <= maxLostShare, `${vms} VMs, limit ${limit}: ${share}`);
        }
    }
});

// Guards against a tenant over its limit that gets less than the limit, takes from others, or makes the VMs flood the keepers.
test("a tenant that sends 4 to 7 times its usual load gets its limit, and the others are untouched", () => {
    for (const multiple of [4, 7]) {
        const tenants = [268, 117, 72, 51, 39, 32, 26, 20, 14, 10, 7, 5, 5].map((limit, index) => createTenant(limit, `t${index}`));
        const model = QuotaModel.create(seed, 90, tenants, 0);
        model.clock.advance(5_000);
        for (const { name, ratePerSecond } of tenants) model.send(name, ratePerSecond! * usualFraction, 20_000);
        model.clock.advance(8_000);
        const [from, until] = [model.clock.now(), model.clock.now() + 8_000];
        model.send("t1", 117 * usualFraction * (multiple - 1), until - from);
        model.clock.advance(13_000);
        const served = model.admitted.get("t1")!.filter(time => time >= from && time < until).length;
        assert.ok(served >= 117 * 8, `served ${served}`);
        assert.ok(computeExcess(model.admitted.get("t1")!, 117) <= 0);
        for (const tenant of tenants.filter(({ name }) => name !== "t1")) {
            assert.ok(computeLostShare(model, tenant) <= maxLostShare, `${tenant.name}: ${computeLostShare(model, tenant)}`);
        }
    }
});

// Guards against operations that wait for a keeper that is gone: each may wait once, and the next ones must ask others.
test("a keeper that is cut off delays few operations, and none by more than the time for two keepers", () => {
    const model = QuotaModel.create(seed, 90, [createTenant(72)], 0);
    model.clock.advance(5_000);
    model.send("t", 72 * usualFraction, 10_000, ["vm0"]);
    model.clock.advance(1_000);
    const lost = [...model.vms.values()].find(vm => vm.own.id !== "vm0" && vm.counters.valuesByName.has("vanillarouter_quota_grants_total"))!;
    lost.isCutOff = true;
    model.clock.advance(10_000);
    assert.ok(Math.max(...model.waits) <= 205, `${Math.max(...model.waits)} ms`);
    assert.ok(model.waits.filter(wait => wait > 20).length <= model.waits.length / 20);
    assert.ok(computeLostShare(model, createTenant(72)) <= maxLostShare);
});
