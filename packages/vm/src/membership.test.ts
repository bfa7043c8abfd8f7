import { ManualClock } from "@vanillarouter/base/manualClock";
import { SeededRandom } from "@vanillarouter/base/seededRandom";
import { Task } from "@vanillarouter/base/task";
import * as fc from "fast-check";
import * as assert from "node:assert/strict";
import { test } from "node:test";
import { HeartbeatCodec } from "./heartbeatCodec";
import { HeartbeatKind } from "./heartbeatKind";
import { Membership } from "./membership";
import { MemberState } from "./memberState";
import { requestSchemas } from "./requestSchemas";
import { MemoryNetwork } from "./testing/memoryNetwork";
import { PausableClock } from "./testing/pausableClock";

const maxDetectionMs = 4_000;
const codec = HeartbeatCodec.create("cluster key for tests");

interface TestNode {
    readonly id: string;
    readonly clock: PausableClock;
    readonly membership: Membership;
    readonly task: Task<unknown>;
}

/** A zone of members on a manual clock. */
class TestZone {
    public readonly nodes = new Map<string, TestNode>();
    public readonly network: MemoryNetwork;

    private constructor(public readonly clock: ManualClock, private readonly seed: number) {
        this.network = MemoryNetwork.create(clock, SeededRandom.create(seed));
    }

    public static create(size: number, seed: number): TestZone {
        const zone = new TestZone(ManualClock.create(), seed);
        for (let index = 0; index < size; index++) zone.start(`vm${index}`, 1);
        zone.clock.advance(6_000);
        return zone;
    }

    public start(id: string, incarnation: number): TestNode {
        const clock = PausableClock.create(this.clock);
        const membership = Membership.create({
            self: { id, zone: "z1", host: id, heartbeatPort: 1, linkPort: 2, incarnation, leaving: false },
            transport: this.network.open(id),
            codec,
            clock,
            random: SeededRandom.create(this.seed * 1000 + this.nodes.size),
            readSeeds: () => [{ host: "vm0", heartbeatPort: 1 }, { host: "vm1", heartbeatPort: 1 }],
        });
        const node = { id, clock, membership, task: Task.start(membership.run()) };
        this.nodes.set(id, node);
        return node;
    }

    public kill(id: string): void {
        this.nodes.get(id)!.task.cancel();
        this.nodes.delete(id);
        this.network.remove(id);
    }

    public pause(id: string): void {
        this.nodes.get(id)!.clock.pause();
        this.network.pause(id);
    }

    public listStatesOf(id: string): readonly (MemberState | undefined)[] {
        return [...this.nodes.values()].filter(node => node.id !== id).map(node => node.membership.table.find(id)?.state);
    }

    public countNodesListingAsEligible(id: string): number {
        return [...this.nodes.values()].filter(node => node.membership.table.listEligible("z1").some(member => member.vm.id === id)).length;
    }
}

function checkSeeds(check: (seed: number) => void, runs: number): void {
    fc.assert(fc.property(fc.integer({ min: 1, max: 1_000_000 }), check), { seed: 20261204, numRuns: runs, endOnFailure: true });
}

test("P7: no VM in the zone assigns roles to a killed VM after 4 s (guards against waiting for the platform's list)", () => {
    checkSeeds(seed => {
        const zone = TestZone.create(8, seed);
        assert.equal(zone.countNodesListingAsEligible("vm5"), 8);
        zone.kill("vm5");
        zone.clock.advance(maxDetectionMs);
        assert.equal(zone.countNodesListingAsEligible("vm5"), 0);
        assert.equal(zone.countNodesListingAsEligible("vm4"), 7);
    }, 30);
});

test("P7: the detection time does not grow with the size of the zone (guards against detection by a sweep over all members)", () => {
    for (const size of [2, 16, 64, 200]) {
        const zone = TestZone.create(size, size);
        zone.kill("vm1");
        zone.clock.advance(maxDetectionMs);
        assert.equal(zone.countNodesListingAsEligible("vm1"), 0, `zone of ${size}`);
    }
});

test("P7: no VM in the zone assigns work to a leaving VM after 300 ms, and it is still a member (guards against treating leaving as death)", () => {
    checkSeeds(seed => {
        const zone = TestZone.create(24, seed);
        zone.nodes.get("vm3")!.membership.announceLeaving();
        zone.clock.advance(300);
        assert.equal(zone.countNodesListingAsEligible("vm3"), 0);
        assert.ok(zone.listStatesOf("vm3").every(state => state === MemberState.Alive));
    }, 20);
});

/** Simulates a naive detector that declares a member dead after one failed direct ping; returns the number of false deaths. */
function countFalseDeathsByOnePing(lossRate: number, random: SeededRandom, pings: number): number {
    let falseDeaths = 0;
    for (let ping = 0; ping < pings; ping++) {
        if (random.next() < lossRate || random.next() < lossRate) falseDeaths++;
    }
    return falseDeaths;
}

test("P7: under 10% loss no live VM is declared dead, whereas a detector with one direct ping often fails (guards against a flapping owner)", () => {
    const pings = 8 * 120;
    assert.ok(countFalseDeathsByOnePing(0.1, SeededRandom.create(1), pings) > 100, "the naive detector must fail");
    checkSeeds(seed => {
        const zone = TestZone.create(8, seed);
        const deaths: string[] = [];
        for (const node of zone.nodes.values()) node.membership.table.onChange(member => member.state === MemberState.Dead && deaths.push(member.vm.id));
        zone.network.lossRate = 0.1;
        zone.clock.advance(60_000);
        assert.deepEqual(deaths, []);
    }, 5);
});

test("P7: a VM that only one member cannot reach stays alive (guards against relying on a single path)", () => {
    const zone = TestZone.create(6, 3);
    const canReach = zone.network.canReach.bind(zone.network);
    zone.network.canReach = (first, second) => canReach(first, second) && !(first === "vm1" && second === "vm2") && !(first === "vm2" && second === "vm1");
    let suspicions = 0;
    for (const node of zone.nodes.values()) node.membership.table.onChange(member => suspicions += Number(member.state === MemberState.Suspect));
    zone.clock.advance(30_000);
    assert.equal(zone.countNodesListingAsEligible("vm2"), 6);
    assert.equal(suspicions, 0);
});

test("role handover: a resumed VM may not use its roles before another member has acknowledged its ping (guards against two owners)", () => {
    checkSeeds(seed => {
        const zone = TestZone.create(6, seed);
        const node = zone.nodes.get("vm2")!;
        assert.ok(node.membership.guard.mayUseRoles());
        zone.pause("vm2");
        zone.clock.advance(8_000);
        assert.equal(zone.countNodesListingAsEligible("vm2"), 1, "only the paused VM considers itself eligible");
        const ownState = node.membership.table.find("vm2")?.state;
        assert.equal(ownState, MemberState.Alive, "its own table still shows it as alive");
        assert.equal(node.membership.guard.mayUseRoles(), false);
        node.clock.resume();
        assert.equal(node.membership.guard.mayUseRoles(), false);
        zone.network.resume("vm2");
        assert.equal(node.membership.guard.mayUseRoles(), false);
        zone.clock.advance(3_000);
        assert.ok(node.membership.guard.mayUseRoles());
        assert.equal(zone.countNodesListingAsEligible("vm2"), 6);
        assert.equal(node.membership.table.listEligible("z1").length, 6, "it declared no member dead because of its own pause");
    }, 20);
});

test("both sides of a partitioned zone rediscover each other after it heals (guards against removing dead members too early)", () => {
    checkSeeds(seed => {
        const zone = TestZone.create(10, seed);
        zone.network.setPartition(1, ["vm0", "vm1", "vm2", "vm3"]);
        zone.clock.advance(60_000);
        assert.equal(zone.nodes.get("vm9")!.membership.table.listEligible("z1").length, 6);
        zone.network.setPartition(0, ["vm0", "vm1", "vm2", "vm3"]);
        zone.clock.advance(30_000);
        for (const id of zone.nodes.keys()) assert.equal(zone.countNodesListingAsEligible(id), 10, id);
    }, 5);
});

test("a VM that restarts under the same id rejoins, even with a lower incarnation (guards against exclusion after a clock step)", () => {
    const zone = TestZone.create(6, 11);
    zone.kill("vm4");
    zone.clock.advance(maxDetectionMs);
    zone.start("vm4", 0);
    zone.clock.advance(5_000);
    assert.equal(zone.countNodesListingAsEligible("vm4"), 6);
});

test("messages that have the wrong key, are addressed to other VMs or are malformed change nothing (guards against forged members)", () => {
    const zone = TestZone.create(3, 5);
    const sender = { id: "forged", zone: "z1", host: "forged", heartbeatPort: 1, linkPort: 2, incarnation: 9, leaving: false };
    const message = { kind: HeartbeatKind.Gossip, sender, receiver: "vm0", sequence: 1, subject: "", configurationMark: 0, updates: [], notices: [] };
    const transport = zone.network.open("forged");
    const misaddressed = codec.encode({ ...message, receiver: "vm2" });
    const damaged = Buffer.from(codec.encode(message));
    damaged[damaged.length - 1]! ^= 1;
    for (const packet of [HeartbeatCodec.create("other").encode(message), misaddressed, damaged, Buffer.alloc(0), Buffer.alloc(2000)]) {
        transport.send("vm0", 1, packet);
    }
    zone.clock.advance(1_000);
    assert.equal(zone.nodes.get("vm0")!.membership.table.find("forged"), undefined);
});

test("each member sends a constant number of messages per second, regardless of the size of the zone (guards against all-to-all heartbeats)", () => {
    const rates = [10, 50, 200].map(size => {
        const zone = TestZone.create(size, 17);
        zone.clock.advance(20_000);
        const before = zone.network.readTraffic("vm0");
        zone.clock.advance(20_000);
        return (zone.network.readTraffic("vm0").messages - before.messages) / 20;
    });
    for (const rate of rates) assert.ok(rate < 10, `${rates.join(", ")} messages per second`);
    assert.ok(rates[2]! < rates[0]! * 1.5 + 1, `${rates.join(", ")} messages per second`);
});

// Guards against a member whose port cannot be sent to: the error would end the task that sends heartbeats.
test("a member with an impossible port or without a name is rejected", () => {
    const vm = { id: "vm-9", zone: "z", host: "10.0.0.9", heartbeatPort: 7101, linkPort: 7201, incarnation: 1, leaving: false };
    const createMessage = (fault: object): object => ({
        zone: "z",
        digests: {},
        updates: [{ vm: { ...vm, ...fault }, state: MemberState.Alive }],
        configurationMark: 0,
    });
    assert.ok(requestSchemas.members.safeParse(createMessage({})).success);
    for (const fault of [{ heartbeatPort: 70_000 }, { linkPort: 0 }, { heartbeatPort: 1.5 }, { id: "" }, { host: "" }, { incarnation: -1 }]) {
        assert.equal(requestSchemas.members.safeParse(createMessage(fault)).success, false, JSON.stringify(fault));
    }
});
