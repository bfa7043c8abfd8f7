import { MemberEntry } from "@vanillarouter/session/model/memberEntry";
import assert from "node:assert/strict";
import { test } from "node:test";
import { chooseWatchers } from "./chooseWatchers";

const zones = ["z1", "z2", "z3"];
const watchersPerZone = 3;

function createMember(id: string, zone: string): MemberEntry {
    return { id, zone, relayAddress: "10.0.0.1:1", capacity: 1, isLeaving: false };
}

const watchers = zones.flatMap(zone => Array.from({ length: watchersPerZone }, (_, index) => createMember(`${zone}-watcher-${index}`, zone)));

// Guards against changes that are late in a whole zone because its watchers are cut off from the store.
test("a VM asks a watcher of its own zone and one of another", () => {
    const chosen = chooseWatchers(createMember("vm", "z2"), watchers);
    assert.deepEqual(chosen.map(({ zone }) => zone === "z2"), [true, false]);
    const [elsewhere] = chooseWatchers(createMember("vm", "z4"), watchers);
    assert.ok(elsewhere !== undefined);
    const sameZone = watchers.filter(({ zone }) => zone === "z1");
    assert.equal(new Set(chooseWatchers(createMember("vm", "z1"), sameZone)).size, 2);
    assert.deepEqual(chooseWatchers(createMember("vm", "z1"), sameZone.slice(0, 1)), sameZone.slice(0, 1));
    assert.deepEqual(chooseWatchers(createMember("vm", "z1"), []), []);
});

// Guards against one watcher that sends each change to all VMs of its zone.
test("the VMs of a zone divide between its watchers", () => {
    const followers = Array.from({ length: 300 }, (_, index) => createMember(`vm-${index}`, "z1"));
    const counts = new Map(watchers.map(({ id }) => [id, 0]));
    for (const follower of followers) {
        for (const { id } of chooseWatchers(follower, watchers)) counts.set(id, counts.get(id)! + 1);
    }
    const fairCount = { z1: followers.length / watchersPerZone, other: followers.length / (watchers.length - watchersPerZone) };
    for (const { id, zone } of watchers) {
        const fair = zone === "z1" ? fairCount.z1 : fairCount.other;
        assert.ok(counts.get(id)! > fair / 2 && counts.get(id)! < fair * 2, `${id}: ${counts.get(id)}`);
    }
});
