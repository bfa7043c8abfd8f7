import { SeededRandom } from "@vanillarouter/base/seededRandom";
import assert from "node:assert/strict";
import { test } from "node:test";
import { PoolReplay } from "../testing/poolReplay";
import { TenantLoad } from "../testing/tenantLoad";

const seed = 20261206;
const durationMs = 60_000;
/** Operations per second of one service at one of three gateways. */
const operationsPerSecond = 42;

type Arrivals = ReturnType<TenantLoad["generate"]>;

/** Plays the arrivals on one pool. */
function replayPool(load: TenantLoad, arrivals: Arrivals, limit: number): PoolReplay {
    const replay = PoolReplay.create(load.tenants, limit);
    let next = 0;
    for (let nowMs = 0; nowMs < durationMs + 1_000; nowMs++) {
        for (; next < arrivals.length && arrivals[next]!.atMs <= nowMs; next++) replay.start(arrivals[next]!.tenant, arrivals[next]!.holdMs);
        replay.advance(1);
    }
    return replay;
}

/** Opens a connection whenever a tenant has none that is idle, and closes the oldest idle one at the limit. Returns how many it opens. */
function replayNaive(arrivals: Arrivals, limit: number): number {
    const connections: { readonly tenant: string; busyUntil: number; }[] = [];
    let opened = 0;
    for (const { atMs, tenant, holdMs } of arrivals) {
        const idle = connections.find(connection => connection.tenant === tenant && connection.busyUntil <= atMs);
        if (idle !== undefined) {
            idle.busyUntil = atMs + holdMs;
            continue;
        }
        opened++;
        const oldest = connections.findIndex(connection => connection.busyUntil <= atMs);
        if (connections.length >= limit && oldest >= 0) connections.splice(oldest, 1);
        connections.push({ tenant, busyUntil: atMs + holdMs });
    }
    return opened;
}

// Guards against closing connections that are needed again at once: each costs the upstream 12 ms of a slot.
for (const [limit, maxRatio] of [[16, 0.85], [50, 0.85]] as const) {
    test(`87 tenants of unequal size on ${limit} connections open fewer than by closing the oldest`, context => {
        const load = TenantLoad.create(SeededRandom.create(seed));
        const arrivals = load.generate(operationsPerSecond, durationMs);
        const { served, opened, maxConnections } = replayPool(load, arrivals, limit);
        const naive = replayNaive(arrivals, limit);
        context.diagnostic(`${arrivals.length} operations, ${served} served, ${opened} connections opened, ${naive} by closing the oldest`);
        assert.ok(served >= 0.999 * arrivals.length);
        assert.ok(maxConnections <= limit);
        assert.ok(opened <= maxRatio * naive, `${opened} against ${naive}`);
    });
}
