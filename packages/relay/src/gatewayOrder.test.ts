import { SeededRandom } from "@vanillarouter/base/seededRandom";
import { TenantLoad } from "@vanillarouter/session/testing/tenantLoad";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayLoad } from "./gatewayLoad";
import { GatewayOrder } from "./gatewayOrder";

const service = "orders";
const zones = ["z1", "z2", "z3"];
const gateways: readonly GatewayLoad[] = zones.map((zone, index) => ({ id: `g${index}`, zone, activeCalls: 0 }));
/** One entry VM in each zone. */
const orders = zones.map((zone, index) => GatewayOrder.create(zone, SeededRandom.create(index)));
const { tenants } = TenantLoad.create(SeededRandom.create(1));

function findFirst(order: GatewayOrder, among: readonly GatewayLoad[], tenant: string | undefined): string {
    return order.sort(service, among, tenant)[0]!.id;
}

// Guards against every gateway opening connections for every tenant, and against one gateway for most tenants.
test("VMs of all zones prefer the same gateway for a tenant, and the gateways share the tenants", context => {
    const counts = new Map<string, number>();
    for (const tenant of tenants) {
        const chosen = new Set(orders.flatMap(order => Array.from({ length: 20 }, () => findFirst(order, gateways, tenant))));
        assert.equal(chosen.size, 1);
        for (const id of chosen) counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    context.diagnostic([...counts].join(" "));
    assert.ok([...counts.values()].every(count => count > tenants.length / 6 && count < tenants.length / 2));
});

// Guards against a tenant that waits at its gateway while others are free, and against moving the tenants of the gateways that remain.
test("a tenant leaves a busier gateway, and the loss of a gateway moves only its tenants, to one other each", () => {
    for (const tenant of tenants) {
        const first = findFirst(orders[0]!, gateways, tenant);
        const busy = gateways.map(gateway => gateway.id === first ? { ...gateway, activeCalls: 7 } : gateway);
        const rest = gateways.filter(gateway => gateway.id !== first);
        assert.notEqual(findFirst(orders[0]!, busy, tenant), first);
        assert.equal(new Set(orders.map(order => findFirst(order, rest, tenant))).size, 1);
        for (const lost of rest) assert.equal(findFirst(orders[0]!, gateways.filter(gateway => gateway !== lost), tenant), first);
    }
});

// Guards against installations without tenants that leave their zone, or all choose the same gateway of it.
test("without a tenant the gateways of the own zone come first, in random order while their calls are equal", () => {
    const local: GatewayLoad = { id: "g3", zone: "z1", activeCalls: 0 };
    const chosen = new Set(Array.from({ length: 50 }, () => findFirst(orders[0]!, [...gateways, local], undefined)));
    assert.deepEqual([...chosen].sort(), ["g0", "g3"]);
});
