import { UpstreamSettings } from "@vanillarouter/base/upstreamSettings";
import { OwnerHost } from "@vanillarouter/routing/ownerHost";
import { VmNode } from "@vanillarouter/vm/vmNode";
import * as assert from "node:assert/strict";
import { test } from "node:test";
import { OwnerRoles } from "./ownerRoles";

test("an owner is replaced when its upstream moves, and kept when only others change or it is leaving", () => {
    const upstream = (id: string, port: number): UpstreamSettings => ({ id, zone: "a", host: "127.0.0.1", port, slots: 2, maxConnections: 30 });
    let owned: readonly UpstreamSettings[] = [upstream("u1", 1), upstream("u2", 2)];
    const calls: (readonly string[])[] = [];
    const node = { owners: { listOwned: () => owned } } as unknown as VmNode;
    const host = { setOwned: (ids: readonly string[]) => calls.push(ids) } as unknown as OwnerHost;
    const roles = OwnerRoles.create(node, host);
    roles.update();
    owned = [{ ...upstream("u1", 1), leaving: true }, upstream("u2", 2), upstream("u3", 3)];
    roles.update();
    assert.deepEqual(calls.splice(0), [["u1", "u2"], ["u1", "u2", "u3"]]);
    owned = [upstream("u1", 9), upstream("u3", 3)];
    roles.update();
    assert.deepEqual(calls, [["u3"], ["u1", "u3"]]);
});
