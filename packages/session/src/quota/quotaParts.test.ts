import { CounterMetrics } from "@vanillarouter/base/counterMetrics";
import { ManualClock } from "@vanillarouter/base/manualClock";
import { Task } from "@vanillarouter/base/task";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import * as bunyan from "bunyan";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ClusterState } from "../cluster/clusterState";
import { SuspensionDetector } from "../freshness/suspensionDetector";
import { Tenant } from "../model/tenant";
import { TenantDirectory } from "../model/tenantDirectory";
import { HeldTokens } from "./heldTokens";
import { KeeperAuthority } from "./keeperAuthority";
import { KeeperChoice } from "./keeperChoice";
import { KeeperHealth } from "./keeperHealth";
import { KeeperRoster } from "./keeperRoster";
import { QuotaAdmission } from "./quotaAdmission";
import { QuotaKeeper } from "./quotaKeeper";
import { QuotaLimits } from "./quotaLimits";

const self = { id: "vm0", zone: "z1", relayAddress: "h:1", capacity: 1, isLeaving: false };

/** Creates the keeper's side of a single VM whose store is in era 0. */
function createKeeper(tenants: readonly Tenant[] | undefined): { clock: ManualClock; keeper: QuotaKeeper; authority: KeeperAuthority; cluster: ClusterState; } {
    const clock = ManualClock.create(100_000);
    const cluster = ClusterState.create(self, clock);
    const directory = tenants === undefined ? undefined : TenantDirectory.create(tenants.map(tenant => ({ tenant, keys: [] })));
    cluster.applyConfiguration({ version: 1, classes: new Map(), services: new Map(), transactionIdleMs: 0, tenants: directory });
    const authority = KeeperAuthority.create(clock, SuspensionDetector.create(clock, () => clock.now()), () => 0);
    const keeper = QuotaKeeper.create(cluster, KeeperRoster.create(cluster, clock), authority, clock, CounterMetrics.create());
    return { clock, keeper, authority, cluster };
}

/** Lets time pass on a VM that runs, and does not renew its lease. */
function advance({ clock, keeper }: ReturnType<typeof createKeeper>, ms: number): void {
    for (let passed = 0; passed < ms; passed += 250) {
        clock.advance(Math.min(250, ms - passed));
        keeper.refresh();
    }
}

const tenant = { name: "t", ratePerSecond: 30, burst: 30 };
const request = { tenant: "t", part: 0, count: 100 };

// Guards against a window that contains what was granted long before it: tokens that a VM keeps, or holds while it is suspended.
test("a token is of no use 500 ms after it was asked for, or after a suspension", () => {
    const clock = ManualClock.create(1_000);
    let timeOfDay = 0;
    const suspension = SuspensionDetector.create(clock, () => timeOfDay + clock.now());
    const held = HeldTokens.create(suspension);
    held.add(3, suspension.readClock());
    clock.advance(499);
    assert.equal(held.take(), true);
    clock.advance(1);
    assert.equal(held.take(), false);
    held.add(1, suspension.readClock());
    timeOfDay += 700;
    assert.equal(held.take(), false);
});

// Guards against a VM that grants on after its entry has ended, in another era, while it leaves, and against a burst from a restarted VM.
test("a keeper grants only while its entry is surely listed, and starts with an empty bucket", () => {
    const vm = createKeeper([tenant]);
    const { keeper, authority } = vm;
    assert.equal(keeper.grant(request).count, 0);
    authority.recordRegistration(authority.readClock(), 0, true);
    assert.equal(keeper.grant(request).count, 0);
    advance(vm, 500);
    assert.equal(keeper.grant(request).count, 5);
    advance(vm, QuotaLimits.registrationMs - 501);
    assert.ok(keeper.grant(request).count > 0);
    advance(vm, 1);
    assert.equal(keeper.grant({ ...request, part: 1 }).count, 0);
    authority.recordRenewal(authority.readClock(), 1);
    assert.equal(authority.isGranting, false);
    authority.recordRenewal(authority.readClock(), 0);
    assert.equal(authority.isGranting, true);
    authority.leave();
    assert.equal(keeper.grant({ ...request, part: 1 }).count, 0);
});

// Guards against a VM that grants a part which others have taken over while it was frozen, or before they know that it is there.
test("a VM that was frozen, or is new, grants nothing until all others have heard of it", () => {
    const vm = createKeeper([tenant]);
    const { clock, keeper, authority } = vm;
    authority.recordRegistration(authority.readClock(), 0, false);
    advance(vm, QuotaLimits.takeoverDelayMs - 1);
    assert.equal(authority.isGranting, false);
    advance(vm, 1_001);
    assert.ok(keeper.grant(request).count > 0);
    clock.advance(4_000);
    authority.recordRenewal(authority.readClock(), 0);
    advance(vm, QuotaLimits.maxListLagMs - 1);
    assert.equal(keeper.grant(request).count, 0);
});

// Guards against a limit that stays at its old burst: the bucket has to be cut when a lower limit is applied.
test("a lowered limit cuts the bucket at once, and an added part waits until no VM divides the limit as before", () => {
    const vm = createKeeper([{ name: "t", ratePerSecond: 24, burst: 24 }]);
    const { keeper, authority, cluster } = vm;
    authority.recordRegistration(authority.readClock(), 0, true);
    advance(vm, 5_000);
    const configure = (version: number, limit: number): void => {
        const tenants = TenantDirectory.create([{ tenant: { name: "t", ratePerSecond: limit, burst: limit }, keys: [] }]);
        cluster.applyConfiguration({ version, classes: new Map(), services: new Map(), transactionIdleMs: 0, tenants });
    };
    assert.equal(keeper.grant({ ...request, count: 1 }).count, 1);
    configure(2, 3);
    assert.equal(keeper.grant(request).count, 2);
    configure(3, 32);
    assert.equal(keeper.grant({ ...request, part: 3 }).count, 0);
    assert.equal(keeper.grant({ ...request, part: 4 }).count, 0);
});

// Guards against messages and links on installations without quotas.
test("no keeper is asked for a tenant without limits, or without tenants in the configuration", async () => {
    for (const tenants of [undefined, [{ name: "t", ratePerSecond: undefined, burst: undefined }]]) {
        const { clock, cluster } = createKeeper(tenants);
        const admission = QuotaAdmission.create({
            clock,
            suspension: SuspensionDetector.create(clock),
            cluster,
            roster: KeeperRoster.create(cluster, clock),
            keepers: { ask: () => assert.fail("a keeper was asked") },
            health: KeeperHealth.create(clock),
            tasks: TaskGroup.create(() => undefined),
            counters: CounterMetrics.create(),
            log: bunyan.createLogger({ name: "test", streams: [] }),
        });
        assert.deepEqual(await Task.start(admission.admit("t")).toPromise(), { isAdmitted: true, retryDelayMs: 0 });
    }
});

// Guards against keepers in one zone, whose loss would take all parts, and against a new VM that moves the parts of many others.
test("the parts of a tenant lie in all zones, with few keepers, and a VM that joins moves few of them", () => {
    const members = Array.from({ length: 91 }, (_, index) => ({ ...self, id: `vm${index}`, zone: `z${index % 3}` }));
    const before = KeeperChoice.create(members.slice(0, 90));
    const after = KeeperChoice.create(members);
    const parts = Array.from({ length: 87 * 3 }, (_, index) => ({ tenant: `t${index % 87}`, part: Math.floor(index / 87) }));
    const keepers = parts.map(({ tenant, part }) => before.findKeeper(tenant, part)!);
    assert.ok(new Set(keepers.map(({ id }) => id)).size <= 12);
    for (let index = 0; index < 87; index++) assert.equal(new Set(keepers.filter((_, part) => part % 87 === index).map(({ zone }) => zone)).size, 3);
    const moved = parts.filter(({ tenant, part }, index) => after.findKeeper(tenant, part)!.id !== keepers[index]!.id).length;
    assert.ok(moved <= parts.length / 4, `${moved} moved`);
});
