import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { SeededRandom } from "@vanillarouter/base/seededRandom";
import { SystemClock } from "@vanillarouter/base/systemClock";
import { Task } from "@vanillarouter/base/task";
import { PlatformServer } from "@vanillarouter/standins/platformServer";
import * as assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigurationChange } from "./configurationChange";
import { ConfigurationConflict } from "./configurationConflict";
import { ConfigurationEditor } from "./configurationEditor";
import { ConfigurationSection } from "./configurationSection";
import { Diagnostics } from "./diagnostics";
import { PlatformClient } from "./platformClient";

const orders = { name: "orders", rank: "urgent", targetMs: 200, readOnly: false };

function setOrders(author: string, targetMs: number, expectedChangeId?: string): ConfigurationChange {
    return { author, edits: [{ section: ConfigurationSection.Classes, name: "orders", value: { ...orders, targetMs }, expectedChangeId }] };
}

function run<T>(operation: Operation<T>): Promise<T> {
    return Task.start(operation).toPromise();
}

async function withEditor(body: (editor: ConfigurationEditor, server: PlatformServer, client: PlatformClient) => Promise<void>): Promise<void> {
    const clock = SystemClock.create();
    const server = PlatformServer.create({ clock, port: 0 });
    const client = PlatformClient.create({ host: "127.0.0.1", port: await server.listen() });
    try {
        await body(
            ConfigurationEditor.create({ store: client, clock, random: SeededRandom.create(7), readWallTime: Date.now, findKnownShard: () => undefined }),
            server,
            client,
        );
    }
    finally {
        client.close();
        await server.close();
    }
}

test("P9: a change whose response was lost is recognized by its id and applied once (guards against a change that is applied twice or reported as failed)", () =>
    withEditor(async (editor, server) => {
        server.setFaults({ loseReplies: 1 });
        const receipt = (await run(editor.apply(setOrders("ana", 150)))).unwrap();
        const history = (await run(editor.readHistory(10))).unwrap();
        assert.deepEqual(history.map(record => record.changeId), [receipt.changeId]);
        assert.deepEqual(history[0]?.edits[0]?.after, { ...orders, targetMs: 150 });
    }));

test("P9: the later of two concurrent operators gets a conflict that shows the change of the first (guards against a later write that silently replaces an earlier one)", () =>
    withEditor(async (editor, server, client) => {
        const seenChangeId = (await run(editor.apply(setOrders("ana", 100)))).unwrap().changeId;
        const firstChangeId = (await run(editor.apply(setOrders("ana", 150, seenChangeId)))).unwrap().changeId;
        const secondResult = await run(editor.apply(setOrders("bor", 300, seenChangeId)));
        assert.equal(secondResult.err && secondResult.val.code, Diagnostics.configurationConflict.code);
        const [conflict] = (secondResult.val as { readonly details: readonly ConfigurationConflict[]; }).details;
        assert.equal(conflict?.currentChangeId, firstChangeId);
        assert.equal(conflict?.change?.author, "ana");
        assert.deepEqual(conflict?.change?.edits[0]?.before, { ...orders, targetMs: 100 });
        const staleDocument = JSON.stringify({ changeId: "naive", items: { orders: { changeId: "naive", value: { ...orders, targetMs: 300 } } } });
        const versionRead = (await run(client.read("vanillarouter/config/classes", 1_000))).unwrap()!.version;
        await run(editor.apply(setOrders("ana", 160)));
        const written = (await run(client.commit([{ kind: "cas", key: "vanillarouter/config/classes", version: versionRead, value: staleDocument }], 1_000)))
            .unwrap();
        assert.equal(written.committed, false, "a write with an old version must not be committed");
        assert.equal((await run(editor.readHistory(10))).unwrap().length, 3);
    }));

test("P9: of two operators who write simultaneously, one succeeds and one gets a conflict (guards against a lost update)", () =>
    withEditor(async editor => {
        const seen = (await run(editor.apply(setOrders("ana", 100)))).unwrap().changeId;
        const results = await Promise.all([run(editor.apply(setOrders("ana", 110, seen))), run(editor.apply(setOrders("bor", 120, seen)))]);
        assert.deepEqual(results.map(result => result.ok).sort(), [false, true]);
        const failure = results.find(result => result.err)!;
        assert.equal(failure.err && failure.val.code, Diagnostics.configurationConflict.code);
    }));

test("operators who simultaneously edit different items of one shard all succeed (guards against false conflicts)", () =>
    withEditor(async editor => {
        const edit = (name: string): ConfigurationChange => ({
            author: name,
            edits: [{ section: ConfigurationSection.Classes, name, value: { ...orders, name }, expectedChangeId: "" }],
        });
        const results = await Promise.all(["a", "b", "c"].map(name => run(editor.apply(edit(name)))));
        assert.deepEqual(results.map(result => result.ok), [true, true, true]);
    }));

test("invalid values are rejected with all their paths and change nothing (guards against a configuration that VMs cannot use)", () =>
    withEditor(async editor => {
        const invalid = await run(editor.apply({
            author: "ana",
            edits: [
                { section: ConfigurationSection.Classes, name: "orders", value: { ...orders, rank: "highest", targetMs: -1 } },
                { section: ConfigurationSection.Groups, name: "g1", value: { name: "g2", upstreams: [] } },
            ],
        }));
        assert.equal(invalid.err && invalid.val.code, Diagnostics.configurationInvalid.code);
        for (const path of ["classes.orders.rank", "classes.orders.targetMs", "groups.g1.upstreams"]) {
            assert.match(String(invalid.err && invalid.val.message), new RegExp(path));
        }
        const account = { user: "app", passwordHash: "0".repeat(40), defaultClass: "none" };
        const dangling = await run(editor.apply({ author: "ana", edits: [{ section: ConfigurationSection.Accounts, name: "app", value: account }] }));
        assert.equal(dangling.err && dangling.val.code, Diagnostics.unknownAccountClass.code);
        assert.deepEqual((await run(editor.readHistory(10))).unwrap(), []);
    }));

test("two groups cannot have an upstream with the same id, even if they are created simultaneously (guards against one owner queue for two databases)", () =>
    withEditor(async editor => {
        const upstream = { id: "u1", zone: "z1", host: "h", port: 1, slots: 1, maxConnections: 2 };
        const edit = (name: string): ConfigurationChange => ({
            author: "ana",
            edits: [{ section: ConfigurationSection.Groups, name, value: { name, upstreams: [upstream] } }],
        });
        const results = await Promise.all(["g1", "g2", "g3"].map(name => run(editor.apply(edit(name)))));
        assert.equal(results.filter(result => result.ok).length, 1);
        const codes = results.map(result => result.err ? result.val.code : 0).filter(code => code !== 0);
        assert.deepEqual(codes, [Diagnostics.duplicateUpstream.code, Diagnostics.duplicateUpstream.code]);
    }));

test("a shard above one mebibyte is rejected before it reaches the store (guards against a shard that no VM can load)", () =>
    withEditor(async (editor, server) => {
        const edits = Array.from({ length: 9_000 }, (_, index) => ({
            section: ConfigurationSection.Classes,
            name: `class-${index}`,
            value: { ...orders, name: `class-${index}` },
        }));
        const large = await run(editor.apply({ author: "ana", edits }));
        assert.equal(large.err && large.val.code, Diagnostics.shardTooLarge.code);
        assert.equal(server.counters.writes, 0);
    }));

test("a change during a store outage fails with the outcome did not run, because the shards cannot be read (guards against a false receipt)", () =>
    withEditor(async (editor, server) => {
        server.setFaults({ outage: "refuse" });
        const result = await run(editor.apply({ ...setOrders("ana", 100), timeoutMs: 300 }));
        assert.equal(result.err && result.val.outcome, RunOutcome.DidNotRun);
    }));
