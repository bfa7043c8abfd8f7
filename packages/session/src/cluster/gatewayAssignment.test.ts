import { ManualClock } from "@vanillarouter/base/manualClock";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { MemberEntry } from "../model/memberEntry";
import { TenantDirectory } from "../model/tenantDirectory";
import { ClusterState } from "./clusterState";

const service = "orders";
const zones = ["z1", "z2", "z3", "z4"];

function createMembers(count: number): readonly MemberEntry[] {
    return Array.from({ length: count }, (_, index) => ({
        id: `vm-${index}`,
        zone: zones[index % zones.length]!,
        relayAddress: `10.0.0.${index}:7440`,
        capacity: 1,
        isLeaving: false,
    }));
}

function createCluster(members: readonly MemberEntry[], own: MemberEntry, maxConnections: number, slots = 6): ClusterState {
    const cluster = ClusterState.create(own, ManualClock.create());
    cluster.applyConfiguration({ version: 1, classes: new Map(), services: new Map([[service, { name: service, maxConnections }]]), transactionIdleMs: 0 });
    for (const [index, id] of ["u1", "u2", "u3"].entries()) {
        cluster.putUpstream({ id, service, host: "h", port: 1, zone: zones[index]!, slots, isLeaving: false, claimsPrimary: id === "u1", startedAtMs: 1 });
    }
    for (const member of members) cluster.putMember(member);
    return cluster;
}

// Guards against exhausting the connection limit of an upstream. With 65 VMs and a limit of 49, most logins were refused.
test("gateways together stay within the connection limit, and each can hold a transaction and a statement", () => {
    fc.assert(
        fc.property(fc.integer({ min: 1, max: 90 }), fc.integer({ min: 12, max: 200 }), (count, maxConnections) => {
            const members = createMembers(count);
            const cluster = createCluster(members, members[0]!, maxConnections);
            const gateways = cluster.gateways.list(service);
            assert.ok(gateways.length * cluster.gateways.getConnectionLimit(service) <= maxConnections);
            assert.ok(cluster.gateways.getConnectionLimit(service) >= 2);
        }),
        { seed: 20261204 },
    );
});

// Guards against statements relayed to a VM that does not consider itself a gateway.
test("all VMs with the same lists choose the same gateways, and only those hold connections", () => {
    const members = createMembers(65);
    const clusters = members.map(own => createCluster([...members].reverse(), own, 49));
    const expected = clusters[0]!.gateways.list(service).map(member => member.id);
    for (const cluster of clusters) {
        assert.deepEqual(cluster.gateways.list(service).map(member => member.id), expected);
        assert.equal(cluster.gateways.isGateway(service), expected.includes(cluster.vmId));
    }
});

// Guards against a zone whose callers could not use the upstreams in it when it is disconnected from the other zones.
test("every zone with an upstream has a gateway", () => {
    const members = createMembers(65);
    const cluster = createCluster(members, members[0]!, 49);
    const gatewayZones = new Set(cluster.gateways.list(service).map(member => member.zone));
    for (const zone of zones.slice(0, 3)) assert.ok(gatewayZones.has(zone), zone);
});

// Guards against gateways on small VMs, whose processor cannot carry the statements of many others, while larger VMs have room.
test("large VMs are gateways more often than small ones, and a zone without a large one has a gateway too", () => {
    const members = createMembers(65).map((member, index) => ({ ...member, capacity: index < 8 && member.zone !== "z2" ? 1.4 : 0.3 }));
    const cluster = createCluster(members, members[0]!, 49);
    const roles = Array.from({ length: 200 }, (_, index) => `service ${index}`).flatMap(name => {
        for (const id of ["u1", "u2", "u3"]) cluster.putUpstream({ ...cluster.findUpstream(id)!, id: `${name} ${id}`, service: name });
        return cluster.gateways.list(name);
    });
    const large = roles.filter(member => member.capacity > 1).length;
    // The six large VMs have 12% of the processors' capacity of the three zones that they are in.
    assert.ok(large > 0.4 * roles.length && large < 0.8 * roles.length, `${large} of ${roles.length}`);
    assert.ok(roles.some(member => member.zone === "z2"));
});

// Guards against choosing the gateways of every service anew after each change, which took processor time in proportion to VMs and services.
test("changes that concern no member, limit or slot leave the choice of gateways as it is", () => {
    const members = createMembers(195);
    const cluster = createCluster(members, members[0]!, 49);
    const before = cluster.gateways.list(service);
    cluster.putUpstream({ ...cluster.findUpstream("u2")!, claimsPrimary: true, isLeaving: true });
    cluster.applyConfiguration({ ...cluster.configuration!, version: 2, transactionIdleMs: 1 });
    assert.equal(cluster.gateways.list(service), before);
    cluster.putUpstream({ ...cluster.findUpstream("u2")!, slots: 40 });
    assert.notEqual(cluster.gateways.list(service), before);
    const withSlots = cluster.gateways.list(service);
    cluster.putMember({ ...members[5]!, isLeaving: true });
    assert.notEqual(cluster.gateways.list(service), withSlots);
});

// Guards against dozens of gateways in front of a few slots: each would use them as if it were alone, and ask for the status of each upstream.
test("the number of gateways follows the slots of the service, not the number of VMs", () => {
    for (const count of [65, 195, 600]) {
        const members = createMembers(count);
        assert.equal(createCluster(members, members[0]!, 49, 5).gateways.list(service).length, 4);
    }
    const members = createMembers(195);
    assert.equal(createCluster(members, members[0]!, 200, 40).gateways.list(service).length, 30);
});

// Guards against needless relaying and against work relayed to a VM that is about to stop.
test("all VMs except leaving ones are gateways while connections suffice", () => {
    const members = createMembers(7);
    const cluster = createCluster(members, members[0]!, 33);
    assert.equal(cluster.gateways.list(service).length, 7);
    cluster.putMember({ ...members[3]!, isLeaving: true });
    assert.equal(cluster.gateways.list(service).some(member => member.id === "vm-3"), false);
    assert.equal(cluster.gateways.list(service).length, 6);
});

// Guards against VMs that each open connections for all tenants, and against a change of installations without tenants.
test("with tenants few VMs are gateways unless each may hold many connections, and every zone with an upstream has one", () => {
    for (const [count, maxConnections, withoutTenants, limit] of [[90, 56, 3, 16], [20, 56, 20, 16], [3, 56, 3, 16], [3, 8, 3, 2]] as const) {
        const members = createMembers(count);
        const cluster = createCluster(members, members[0]!, maxConnections, 4);
        assert.equal(cluster.gateways.list(service).length, withoutTenants);
        cluster.applyConfiguration({ ...cluster.configuration!, version: 2, tenants: TenantDirectory.create([]) });
        const gateways = cluster.gateways.list(service);
        assert.equal(cluster.gateways.getConnectionLimit(service), limit);
        assert.deepEqual(gateways.map(member => member.zone).sort(), zones.slice(0, 3));
    }
});
