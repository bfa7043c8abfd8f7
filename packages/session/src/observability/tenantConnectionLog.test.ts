import { CounterMetrics } from "@vanillarouter/base/counterMetrics";
import assert from "node:assert/strict";
import { test } from "node:test";
import { TestBed } from "../testing/testBed";
import { UpstreamPools } from "../upstream/upstreamPools";
import { DecisionLog } from "./decisionLog";
import { TenantConnectionLog } from "./tenantConnectionLog";

// Guards against metrics whose number grows with the tenants, and against evictions that no operator sees.
test("connections opened and evicted for tenants are counted by upstream, without the tenant", () => {
    const bed = TestBed.create();
    const counters = CounterMetrics.create();
    bed.useTenants(["acme", "globex", "initech"], 3);
    const observer = TenantConnectionLog.create(counters, DecisionLog.create(bed.log, bed.clock));
    const pool = UpstreamPools.create(bed.cluster, bed.clock, bed.dialer, "zone-1", observer).find("u1")!;
    for (const tenant of ["acme", "globex", "initech", "umbrella"]) {
        bed.run(pool.run(bed.createSlotRequest(tenant), function*(connection) {
            pool.returnConnection(connection);
        }));
    }
    const values = [...counters.valuesByName.get("vanillarouter_tenant_connections_total")!];
    const label = (event: string): string => `service="orders",upstream="u1",event="${event}"`;
    assert.deepEqual(values.sort(), [[label("evicted"), 1], [label("opened"), 4]]);
});
