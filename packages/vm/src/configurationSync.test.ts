import { ManualClock } from "@vanillarouter/base/manualClock";
import { SeededRandom } from "@vanillarouter/base/seededRandom";
import { Task } from "@vanillarouter/base/task";
import { ConfigurationEditor } from "@vanillarouter/platform/configurationEditor";
import { configurationKeys } from "@vanillarouter/platform/configurationKeys";
import { ConfigurationSection } from "@vanillarouter/platform/configurationSection";
import { ConfigurationShard } from "@vanillarouter/platform/configurationShard";
import { createChangeId } from "@vanillarouter/platform/createChangeId";
import { parseAuditRecord } from "@vanillarouter/platform/parseAuditRecord";
import * as fc from "fast-check";
import * as assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigurationReplica } from "./configurationReplica";
import { ConfigurationSync } from "./configurationSync";
import { PeerCalls } from "./peerCalls";
import { MemoryCluster } from "./testing/memoryCluster";
import { MemoryPlatformClient } from "./testing/memoryPlatformClient";

const maxPropagationMs = 11_000;

function formatClassesShard(targetMs: number): string {
    const value = { name: "orders", rank: "urgent", targetMs, readOnly: false };
    return JSON.stringify({ changeId: `change-${targetMs}`, items: { orders: { changeId: `change-${targetMs}`, value } } });
}

function writeTarget(cluster: MemoryCluster, targetMs: number): void {
    cluster.platform.write(configurationKeys.formatShardKey("classes"), formatClassesShard(targetMs));
}

function readTargets(cluster: MemoryCluster): readonly (number | undefined)[] {
    return [...cluster.nodes.values()].map(vm => vm.node.configuration.current?.classes.get("orders")?.targetMs);
}

/** Starts a cluster and checks the configuration version of every VM every 50 ms, counting reverts to a lower one. */
function startCluster(seed: number, zones: number, size: number): { readonly cluster: MemoryCluster; readonly countReverts: () => number; } {
    const cluster = MemoryCluster.create(seed);
    cluster.startZones(zones, size);
    writeTarget(cluster, 100);
    cluster.clock.advance(8_000);
    let reverts = 0;
    const versions = new Map<string, number>();
    const checkVersions = (): void => {
        for (const [id, vm] of cluster.nodes) {
            const version = vm.node.configuration.current?.version ?? -1;
            if (version < (versions.get(id) ?? -1)) reverts++;
            versions.set(id, version);
        }
        cluster.clock.startTimer(50, checkVersions);
    };
    checkVersions();
    return { cluster, countReverts: () => reverts };
}

function checkSeeds(check: (seed: number) => void, runs: number): void {
    fc.assert(fc.property(fc.integer({ min: 1, max: 1_000_000 }), check), { seed: 20261204, numRuns: runs, endOnFailure: true });
}

/** A naive replica in which the last shard to arrive takes effect. */
class LastArrivalReplica {
    public version = 0;
    public accept(shard: ConfigurationShard): void {
        this.version = shard.version;
    }
}

test("P9: a shard never reverts in any order of arrival, whereas a last-arrival-wins replica reverts (guards against stale reads and late pushes)", () => {
    let naiveReverts = 0;
    fc.assert(
        fc.property(fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 2, maxLength: 40 }), arrivals => {
            const replica = ConfigurationReplica.create();
            const naive = new LastArrivalReplica();
            let highest = 0;
            for (const version of arrivals) {
                const shard = { name: "classes", version, changeId: String(version), items: new Map() };
                replica.accept(shard);
                if (version < naive.version) naiveReverts++;
                naive.accept(shard);
                highest = Math.max(highest, version);
                assert.equal(replica.find("classes")?.version, highest);
            }
        }),
        { seed: 9, numRuns: 200 },
    );
    assert.ok(naiveReverts > 0, "the naive replica must fail");
});

test("P9: a change takes effect on every VM of four zones within 11 s (guards against VMs that get changes only from the store)", () => {
    checkSeeds(seed => {
        const { cluster, countReverts } = startCluster(seed, 4, 8);
        assert.ok(readTargets(cluster).every(target => target === 100));
        writeTarget(cluster, 200);
        cluster.clock.advance(maxPropagationMs);
        assert.ok(readTargets(cluster).every(target => target === 200));
        assert.equal(countReverts(), 0);
        cluster.close();
    }, 5);
});

test("P9: no VM reverts under any sequence of stale reads, slow responses and outages (guards against trusting the store's last response)", () => {
    checkSeeds(seed => {
        const { cluster, countReverts } = startCluster(seed, 2, 4);
        const random = SeededRandom.create(seed);
        let target = 100;
        for (let step = 0; step < 12; step++) {
            const choice = Math.floor(random.next() * 5);
            if (choice === 0) cluster.platform.isDown = !cluster.platform.isDown;
            if (choice === 1) cluster.platform.setStale([...cluster.nodes.keys()].filter(() => random.next() < 0.5));
            if (choice === 2) cluster.platform.delayMs = 1_500 * random.next();
            if (choice === 3) cluster.partition(random.next() < 0.5 ? ["z0"] : []);
            writeTarget(cluster, ++target);
            cluster.clock.advance(4_000 * random.next());
        }
        cluster.platform.isDown = false;
        cluster.platform.setStale([]);
        cluster.platform.delayMs = 3;
        cluster.partition([]);
        cluster.clock.advance(maxPropagationMs);
        assert.deepEqual(new Set(readTargets(cluster)), new Set([target]));
        assert.equal(countReverts(), 0);
        cluster.close();
    }, 15);
});

/** Returns the edits in the store's audit trail, each as the target before and after it. */
function readAuditTrail(cluster: MemoryCluster): readonly string[] {
    return cluster.platform.store.list(configurationKeys.auditPrefix).flatMap(stored => {
        const { author, edits } = parseAuditRecord(stored.value.toString("utf8"))!;
        const readTarget = (value: unknown): unknown => (value as { readonly targetMs: number; } | undefined)?.targetMs;
        return edits.map(edit => `${author}: ${edit.name} ${String(readTarget(edit.before))} to ${String(readTarget(edit.after))}`);
    });
}

/** Changes the target of a class through the administration API of a VM, as an operator would, and checks that the change was confirmed. */
function changeTarget(cluster: MemoryCluster, vmId: string, targetMs: number, name = "orders"): void {
    const { replica } = cluster.nodes.get(vmId)!.node;
    const editor = ConfigurationEditor.create({
        store: MemoryPlatformClient.create(cluster.platform, cluster.clock, vmId),
        clock: cluster.clock,
        random: SeededRandom.create(targetMs),
        readWallTime: () => Date.UTC(2026, 11, 4) + targetMs,
        findKnownShard: shard => replica.find(shard),
    });
    const value = { name, rank: "urgent", targetMs, readOnly: false };
    const task = Task.start(editor.apply({ author: "ana", edits: [{ section: ConfigurationSection.Classes, name, value }] }));
    cluster.clock.advance(1_000);
    let isConfirmed = false;
    task.deliver(result => isConfirmed = result.ok, err => assert.fail(String(err)));
    assert.ok(isConfirmed);
}

test("P9: a change made after the store came back from a backup is in force on every VM, and none reverts (guards against versions that go back with the store)", () => {
    checkSeeds(seed => {
        const { cluster, countReverts } = startCluster(seed, 2, 4);
        const backup = cluster.platform.store.createBackup();
        for (const targetMs of [110, 120, 130]) changeTarget(cluster, "z0-1", targetMs);
        cluster.clock.advance(maxPropagationMs);
        assert.deepEqual(new Set(readTargets(cluster)), new Set([130]));
        cluster.platform.isDown = true;
        cluster.clock.advance(2_000);
        cluster.platform.store.restore(backup);
        cluster.platform.isDown = false;
        cluster.clock.advance(2_000);
        assert.deepEqual(new Set(readTargets(cluster)), new Set([130]));
        for (const targetMs of [140, 150]) {
            changeTarget(cluster, "z1-1", targetMs);
            cluster.clock.advance(maxPropagationMs);
            assert.deepEqual(new Set(readTargets(cluster)), new Set([targetMs]));
        }
        const started = cluster.start("z0-9");
        cluster.clock.advance(5_000);
        assert.equal(started.node.configuration.current?.classes.get("orders")?.targetMs, 150);
        assert.equal(countReverts(), 0);
        cluster.close();
    }, 5);
});

/** Starts a cluster, confirms target 110, then 120 and 130 for `orders`, and has the store come back from a backup of in between. */
function startRestoredCluster(seed: number): MemoryCluster {
    const { cluster } = startCluster(seed, 2, 4);
    changeTarget(cluster, "z0-1", 110);
    const backup = cluster.platform.store.createBackup();
    for (const targetMs of [120, 130]) changeTarget(cluster, "z0-1", targetMs);
    cluster.clock.advance(maxPropagationMs);
    cluster.platform.store.restore(backup);
    return cluster;
}

test("P9: a change right after a restore keeps the confirmed changes of other items that the store has lost (guards against a shard that starts from the backup)", () => {
    checkSeeds(seed => {
        const cluster = startRestoredCluster(seed);
        changeTarget(cluster, "z1-1", 210, "views");
        cluster.clock.advance(maxPropagationMs);
        assert.deepEqual(new Set(readTargets(cluster)), new Set([130]));
        for (const vm of cluster.nodes.values()) assert.equal(vm.node.configuration.current?.classes.get("views")?.targetMs, 210);
        cluster.close();
    }, 5);
});

test("P9: a VM that starts alone after a restore has the confirmed changes that the store had lost (guards against a store that stays outdated)", () => {
    checkSeeds(seed => {
        const cluster = startRestoredCluster(seed);
        cluster.clock.advance(maxPropagationMs);
        const [, ...repairs] = readAuditTrail(cluster);
        assert.equal(repairs.length, 1);
        assert.match(repairs[0]!, /^z\d-\d: orders 110 to 130$/);
        for (const id of [...cluster.nodes.keys()]) cluster.kill(id);
        const started = cluster.start("z0-9");
        cluster.clock.advance(maxPropagationMs);
        assert.equal(started.node.configuration.current?.classes.get("orders")?.targetMs, 130);
        cluster.close();
    }, 5);
});

test("a change that a VM without the latest ones made after a restore stays in the store (guards against a repair that drops a confirmed change)", () => {
    const cluster = startRestoredCluster(6);
    const laterChange = createChangeId(Date.UTC(2026, 11, 5), SeededRandom.create(1));
    const value = { name: "orders", rank: "urgent", targetMs: 140, readOnly: false };
    const document = JSON.stringify({ changeId: laterChange, version: 1, items: { orders: { changeId: laterChange, value } } });
    cluster.platform.write(configurationKeys.formatShardKey("classes"), document);
    cluster.clock.advance(maxPropagationMs);
    assert.equal(cluster.platform.store.find(configurationKeys.formatShardKey("classes"))?.value.toString("utf8"), document);
    cluster.close();
});

test("a shard of the store that is older than the known one is reported and not accepted (guards against a restore that operators do not notice)", () => {
    const replica = ConfigurationReplica.create();
    const outdated: (readonly number[])[] = [];
    const sync = ConfigurationSync.create({
        replica,
        peers: {} as PeerCalls,
        clock: ManualClock.create(),
        listNeighbours: () => [],
        findVm: () => undefined,
        onRejected: () => assert.fail("nothing is malformed"),
        onStoreOutdated: (shard, known) => outdated.push([shard.version, known.version]),
    });
    for (const version of [4, 7, 7, 5]) sync.acceptStored({ name: "classes", version, changeId: String(version), items: new Map() });
    assert.deepEqual(outdated, [[5, 7]]);
    assert.equal(replica.find("classes")?.version, 7);
});

test("without faults a change is pushed as a delta, and no VM pulls whole shards (guards against traffic that grows with the configuration)", () => {
    const { cluster } = startCluster(12, 2, 10);
    const countPulls = (): number => [...cluster.nodes.values()].reduce((sum, vm) => sum + vm.peers.pulls, 0);
    const before = countPulls();
    writeTarget(cluster, 300);
    cluster.clock.advance(maxPropagationMs);
    assert.ok(readTargets(cluster).every(target => target === 300));
    assert.equal(countPulls(), before);
    cluster.close();
});

test("P9: a VM that starts during an outage of the store gets the configuration from other VMs (guards against a VM that cannot serve)", () => {
    const { cluster } = startCluster(3, 2, 4);
    cluster.platform.isDown = true;
    const { node } = cluster.start("z0-9");
    cluster.clock.advance(5_000);
    assert.equal(node.configuration.current?.classes.get("orders")?.targetMs, 100);
    cluster.kill("z0-0");
    const restarted = cluster.start("z0-0");
    cluster.clock.advance(5_000);
    assert.equal(restarted.node.configuration.current?.classes.get("orders")?.targetMs, 100);
    cluster.close();
});

test("P9: changes still propagate after a relay dies (guards against a zone that gets no changes until a lease expires)", () => {
    const { cluster } = startCluster(5, 2, 8);
    for (let round = 1; round <= 3; round++) {
        const relay = [...cluster.nodes.values()].find(vm => vm.node.roles.isRelay())!;
        const id = relay.node.membership.description.id;
        cluster.kill(id);
        writeTarget(cluster, 100 + round);
        cluster.clock.advance(maxPropagationMs);
        assert.deepEqual(new Set(readTargets(cluster)), new Set([100 + round]));
        cluster.start(id);
        cluster.clock.advance(3_000);
    }
    cluster.close();
});

test("P9: a zone that cannot reach the platform gets changes from other zones (guards against an isolated zone with an outdated configuration)", () => {
    const { cluster } = startCluster(6, 3, 4);
    const canReach = cluster.network.canReach.bind(cluster.network);
    cluster.network.canReach = (first, second) => canReach(first, second) && !(second === "platform" && first.startsWith("z2"));
    cluster.clock.advance(70_000);
    writeTarget(cluster, 150);
    cluster.clock.advance(maxPropagationMs);
    assert.deepEqual(new Set(readTargets(cluster)), new Set([150]));
    cluster.close();
});

test("P9: a fully partitioned zone keeps its configuration, and gets the change within 11 s after the partition heals (guards against a zone with an outdated configuration)", () => {
    const { cluster, countReverts } = startCluster(6, 3, 4);
    cluster.partition(["z2"]);
    writeTarget(cluster, 150);
    cluster.clock.advance(90_000);
    assert.deepEqual(new Set(readTargets(cluster)), new Set([150, 100]));
    cluster.partition([]);
    cluster.clock.advance(maxPropagationMs);
    assert.deepEqual(new Set(readTargets(cluster)), new Set([150]));
    assert.equal(countReverts(), 0);
    cluster.close();
});

test("a malformed shard in the store is rejected (guards against a configuration that stops every VM)", () => {
    const { cluster } = startCluster(7, 1, 4);
    cluster.platform.write(configurationKeys.formatShardKey("classes"), "{\"changeId\":\"x\",\"items\":{\"orders\":{\"changeId\":\"x\",\"value\":{}}}}");
    cluster.clock.advance(5_000);
    assert.deepEqual(new Set(readTargets(cluster)), new Set([100]));
    writeTarget(cluster, 180);
    cluster.clock.advance(maxPropagationMs);
    assert.deepEqual(new Set(readTargets(cluster)), new Set([180]));
    cluster.close();
});

test("the number of store watches does not grow with the size of a zone (guards against one watch per VM)", () => {
    const { cluster } = startCluster(8, 2, 12);
    // 2 zones with 3 relays each, which watch 18 shards each.
    assert.equal(cluster.platform.waitingWatches, 2 * 3 * 18);
    const before = cluster.platform.calls.get("watch")!;
    cluster.clock.advance(60_000);
    const perSecond = (cluster.platform.calls.get("watch")! - before) / 60;
    assert.ok(perSecond < 2 * 3 * 18 / 30, `${perSecond} watches per second`);
    cluster.close();
});
