import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { Rank } from "@vanillarouter/base/rank";
import { sleep } from "@vanillarouter/base/sleep";
import { SystemClock } from "@vanillarouter/base/systemClock";
import { SystemRandom } from "@vanillarouter/base/systemRandom";
import { Task } from "@vanillarouter/base/task";
import { ConfigurationEditor } from "@vanillarouter/platform/configurationEditor";
import { ConfigurationSection } from "@vanillarouter/platform/configurationSection";
import { PlatformClient } from "@vanillarouter/platform/platformClient";
import { StatementKind } from "@vanillarouter/routing/entry/statementKind";
import { KnownGroupViews } from "@vanillarouter/routing/group/knownGroupViews";
import { OwnerLink } from "@vanillarouter/routing/owner/ownerLink";
import { OwnerRequest } from "@vanillarouter/routing/owner/ownerRequest";
import { OwnerResponse } from "@vanillarouter/routing/owner/ownerResponse";
import { PlatformServer } from "@vanillarouter/standins/platformServer";
import * as assert from "node:assert/strict";
import { test } from "node:test";
import { Ok, Result } from "ts-results";
import { RunningNode } from "./runningNode";
import { startVmNode } from "./startVmNode";
import { createTestCertificates } from "./testing/createTestCertificates";

const clock = SystemClock.create();
const tls = createTestCertificates();
const upstreamSettings = { host: "127.0.0.1", port: 1, slots: 2, maxConnections: 30 };
const group = { name: "g1", upstreams: ["z1", "z2"].map(zone => ({ ...upstreamSettings, id: `u-${zone}`, zone })) };
const orders = { name: "orders", rank: "urgent", targetMs: 200, readOnly: false };

function run<T>(operation: Operation<T>): Promise<T> {
    return Task.start(operation).toPromise();
}

function createOwner(id: string): OwnerLink {
    return {
        *execute(req: OwnerRequest): Operation<Result<OwnerResponse, Failure>> {
            const result = { columns: [], rows: [[id]], affectedRows: 0, insertId: 0, info: "" };
            const at = { term: 1, position: 1 };
            return Ok({ requestId: req.requestId, result, at, load: { upstream: req.upstream, queueDelayMs: 0, applied: at } });
        },
    } as Partial<OwnerLink> as OwnerLink;
}

interface StartedNode extends RunningNode {
    readonly id: string;
    readonly platform: PlatformClient;
    readonly task: Task<unknown>;
}

async function startNode(id: string, platformPort: number, seeds: readonly StartedNode[]): Promise<StartedNode> {
    const platform = PlatformClient.create({ host: "127.0.0.1", port: platformPort });
    const started = await run(startVmNode({
        settings: {
            id,
            zone: id.slice(0, 2),
            host: "127.0.0.1",
            heartbeatPort: 0,
            linkPort: 0,
            clusterKey: "secret",
            tls,
            seeds: seeds.map(seed => ({ host: "127.0.0.1", heartbeatPort: seed.heartbeatPort })),
            incarnation: 1,
        },
        store: platform,
        list: platform,
        clock,
        random: SystemRandom.create(),
        readWallTime: Date.now,
        createRoles: () => ({ owner: createOwner(id), groups: KnownGroupViews.create(), shares: { collect: () => [], learn: () => {} } }),
    }));
    const node = started.unwrap();
    return { ...node, id, platform, task: Task.start(node.node.run()) };
}

async function stopNode(started: StartedNode): Promise<void> {
    started.task.cancel();
    await run(started.close());
    started.platform.close();
}

async function waitUntil(condition: () => boolean, limitMs: number): Promise<void> {
    for (const end = clock.now() + limitMs; !condition() && clock.now() < end;) await run(sleep(clock, 20));
    assert.ok(condition());
}

test("VMs on real sockets join, get the configuration, reach owners in both zones and replace an owner that stops (guards against components that work only in memory)", async () => {
    const server = PlatformServer.create({ clock, port: 0 });
    const port = await server.listen();
    const editorClient = PlatformClient.create({ host: "127.0.0.1", port });
    const editor = ConfigurationEditor.create({
        store: editorClient,
        clock,
        random: SystemRandom.create(),
        readWallTime: Date.now,
        findKnownShard: () => undefined,
    });
    const nodes: StartedNode[] = [];
    try {
        (await run(editor.apply({
            author: "ana",
            edits: [
                { section: ConfigurationSection.Groups, name: "g1", value: group },
                { section: ConfigurationSection.Classes, name: "orders", value: orders },
            ],
        }))).unwrap();
        for (const id of ["z1-a", "z1-b", "z2-a", "z2-b"]) nodes.push(await startNode(id, port, nodes.slice(0, 1)));
        for (const started of nodes) (await run(started.node.waitForReadiness(8_000))).unwrap();
        const agreeOnOwner = (upstream: string): boolean => new Set(nodes.map(started => started.node.owners.findOwnerVm(upstream)?.id)).size === 1;
        await waitUntil(() => agreeOnOwner("u-z1") && agreeOnOwner("u-z2") && nodes.every(started => started.node.membership.table.size === 4), 8_000);
        for (const started of nodes) {
            for (const upstream of ["u-z1", "u-z2"]) {
                const request = {
                    requestId: "r",
                    upstream,
                    group: "g1",
                    className: "orders",
                    rank: Rank.Urgent,
                    franchisee: "f",
                    kind: StatementKind.Read as const,
                };
                const response = await run(started.node.owners.findOwner(upstream)!.execute({ ...request, sql: "select", timeoutMs: 2_000, repeatable: true }));
                assert.equal(response.unwrap().result.rows[0]?.[0], started.node.owners.findOwnerVm(upstream)?.id);
            }
        }
        (await run(editor.apply({ author: "ana", edits: [{ section: ConfigurationSection.Classes, name: "orders", value: { ...orders, targetMs: 250 } }] })))
            .unwrap();
        await waitUntil(() => nodes.every(started => started.node.configuration.current?.classes.get("orders")?.targetMs === 250), 11_000);
        const ownerId = nodes[0]!.node.owners.findOwnerVm("u-z2")!.id;
        const owner = nodes.find(started => started.id === ownerId)!;
        await run(owner.node.leave());
        nodes.splice(nodes.indexOf(owner), 1);
        await stopNode(owner);
        assert.ok(nodes.every(started => started.node.owners.findOwnerVm("u-z2")?.id !== ownerId));
    }
    finally {
        for (const started of nodes) await stopNode(started);
        editorClient.close();
        await server.close();
    }
});
