import assert from "node:assert/strict";
import { test } from "node:test";
import { ErrorKind } from "../model/errorKind";
import { StatementKind } from "../model/statementKind";
import { SessionTestBed } from "../testing/sessionTestBed";

const { Begin, Write, Commit, Read, Rollback, SetValue } = StatementKind;

// Guards against a login that is served without a key of a tenant, and against one that is refused although nobody is authenticated.
test("a login needs a key only if the configuration has tenants and the database is not public", () => {
    const cases: readonly [Record<string, string[]> | undefined, boolean, string | undefined, string, string | undefined][] = [
        [undefined, false, undefined, "ready", undefined],
        [undefined, false, "k1", "ready", undefined],
        [{}, false, "k1", ErrorKind.NotAuthenticated, undefined],
        [{ a: ["k1"] }, false, undefined, ErrorKind.NotAuthenticated, undefined],
        [{ a: ["k1"] }, false, "k", ErrorKind.NotAuthenticated, undefined],
        [{ a: ["k1"] }, false, "k1", "ready", "a"],
        [{ a: ["k1"] }, true, "k1", "ready", "a"],
        [{ a: ["k1"] }, true, "k2", "ready", undefined],
        [{ a: ["k1"] }, true, undefined, "ready", undefined],
    ];
    for (const [keys, isPublic, key, response, tenant] of cases) {
        const sessions = SessionTestBed.create();
        sessions.configure(keys, isPublic);
        const channel = sessions.logIn(key);
        assert.deepEqual([channel.responses.at(-1), channel.credential], [response, undefined]);
        assert.equal(channel.isClosed, response !== "ready");
        if (channel.isClosed) continue;
        assert.equal(sessions.send(channel, "w1", Write), "ok");
        assert.deepEqual(sessions.requests.map(req => req.tenant), [tenant]);
        assert.deepEqual(sessions.admitted, tenant === undefined ? [] : [tenant]);
    }
});

// Guards against a session that stays open, or is served, after its key was withdrawn, also one that logged in before keys were needed.
test("an idle session ends once a configuration lacks its key, and its next statement does not run", () => {
    for (const before of [{ a: ["k1"] }, undefined]) {
        for (const [isLate, unfinished] of [[false, false], [true, false], [true, true]]) {
            const sessions = SessionTestBed.create();
            sessions.configure(before);
            const channel = sessions.logIn("k1");
            const kept = sessions.logIn("k2");
            if (unfinished === true) assert.equal(sessions.send(channel, "v1", SetValue), "ok");
            sessions.configure({ a: ["k2"] });
            if (isLate === false) assert.equal(sessions.send(channel, "w1", Write), ErrorKind.NotAuthenticated);
            else sessions.pass(60);
            assert.equal(channel.isClosed, true);
            assert.equal(kept.isClosed, before !== undefined);
            assert.deepEqual(sessions.committedIds, []);
        }
    }
});

// Guards against a transaction that a withdrawn key still commits, or that keeps its connection until the caller's next statement.
test("an open transaction is rolled back between statements when its key is withdrawn", () => {
    const sessions = SessionTestBed.create();
    sessions.configure({ a: ["k1"] });
    const channel = sessions.logIn("k1");
    sessions.send(channel, "b1", Begin);
    sessions.bed.fakeGroup.find("u1").executionMs = 20;
    sessions.send(channel, "w1", Write, 10);
    sessions.configure({ a: [] });
    sessions.pass(40);
    assert.deepEqual(channel.responses, ["ready", "ok", "ok"]);
    sessions.pass(20);
    assert.equal(sessions.rollBackCount, 1);
    assert.equal(channel.isClosed, false);
    assert.equal(sessions.send(channel, "c1", Commit), ErrorKind.NotAuthenticated);
    assert.equal(channel.isClosed, true);
    assert.deepEqual(sessions.committedIds, []);
});

// Guards against the second half of a transaction that commits alone after its key was withdrawn and added again.
test("a transaction that was rolled back for its key stays so when the key is added again", () => {
    for (const kind of [Write, Commit, Rollback]) {
        const sessions = SessionTestBed.create();
        sessions.configure({ a: ["k1"] });
        const channel = sessions.logIn("k1");
        sessions.send(channel, "b1", Begin);
        sessions.send(channel, "w1", Write);
        sessions.configure({ a: [] });
        sessions.pass(5);
        sessions.configure({ a: ["k1"] });
        assert.equal(sessions.send(channel, "s1", kind), kind === Rollback ? "ok" : ErrorKind.Aborted);
        assert.equal(sessions.send(channel, "w2", Write), "ok");
        assert.deepEqual(sessions.committedIds, ["w2"]);
    }
});

// Guards against an operation that runs for the former tenant of a key: on its connections, at the cost of its quota.
test("a key that gets another tenant, or none on a public route, ends the open transaction, and later operations are not the former tenant's", () => {
    for (const next of ["b", undefined]) {
        const sessions = SessionTestBed.create();
        sessions.configure({ a: ["k1"], b: [] }, true);
        const channel = sessions.logIn("k1");
        sessions.send(channel, "b1", Begin);
        sessions.send(channel, "w1", Write);
        sessions.configure({ a: [], b: next === undefined ? [] : ["k1"] }, true);
        sessions.pass(60);
        assert.equal(sessions.rollBackCount, 1);
        assert.equal(sessions.send(channel, "c1", Commit), ErrorKind.Aborted);
        assert.equal(sessions.send(channel, "r1", Read), "ok");
        assert.deepEqual(sessions.requests.map(req => req.tenant), ["a", next]);
        assert.deepEqual(sessions.admitted, next === undefined ? ["a"] : ["a", next]);
        assert.deepEqual(sessions.committedIds, []);
    }
});

// Guards against transactions that fail because operators begin, or cease, to authenticate callers.
test("an open transaction goes on when tenants appear in the configuration or disappear from it", () => {
    for (const [before, after] of [[undefined, { a: ["k1"] }], [{ a: ["k1"] }, undefined]]) {
        const sessions = SessionTestBed.create();
        sessions.configure(before);
        const channel = sessions.logIn("k1");
        sessions.send(channel, "b1", Begin);
        sessions.send(channel, "w1", Write);
        sessions.configure(after);
        sessions.pass(60);
        assert.equal(sessions.send(channel, "c1", Commit), "ok");
        assert.deepEqual(sessions.committedIds, ["c1"]);
    }
});

// Guards against an admission that is counted for one tenant while the operation runs for another, or for none.
test("an operation whose key changes during its admission needs that of the new tenant, or does not run", () => {
    for (const kind of [Write, Begin]) {
        for (const isMoved of [true, false]) {
            const sessions = SessionTestBed.create();
            sessions.configure({ a: ["k1"] });
            const channel = sessions.logIn("k1");
            sessions.onAdmit = () => {
                if (sessions.admitted.length === 1) sessions.configure(isMoved ? { a: [], b: ["k1"] } : { a: [] });
                return { isAdmitted: true, retryDelayMs: 0 };
            };
            assert.equal(sessions.send(channel, "s1", kind), isMoved ? "ok" : ErrorKind.NotAuthenticated);
            assert.deepEqual(sessions.admitted, isMoved ? ["a", "b"] : ["a"]);
            assert.deepEqual(sessions.requests.map(req => req.tenant), isMoved ? ["b"] : []);
            sessions.pass(60);
            assert.equal(channel.isClosed, !isMoved);
        }
    }
});

// Guards against a refused operation that ran, a refusal without its retry-after time, and a transaction that is counted more than once.
test("an operation is admitted once, and one that is not admitted is refused as not run with the time to retry", () => {
    const sessions = SessionTestBed.create();
    sessions.configure({ a: ["k1"] });
    const channel = sessions.logIn("k1");
    for (const kind of [Begin, Write, Write, Commit, Write]) sessions.send(channel, `s${channel.responses.length}`, kind);
    assert.deepEqual(sessions.admitted, ["a", "a"]);
    const committed = sessions.committedIds;
    sessions.onAdmit = () => ({ isAdmitted: false, retryDelayMs: 41.2 });
    for (const kind of [Write, Read, Begin]) {
        assert.equal(sessions.send(channel, `n${channel.responses.length}`, kind), ErrorKind.Busy);
        assert.equal(channel.lastText, "[vr-1821] the tenant is above its limit; retry after 42 ms");
    }
    assert.equal(sessions.requests.length, 2);
    sessions.onAdmit = () => ({ isAdmitted: true, retryDelayMs: 0 });
    // Nothing is open after the refused BEGIN.
    assert.equal(sessions.send(channel, "c9", Commit), ErrorKind.Malformed);
    assert.deepEqual(sessions.committedIds, committed);
});
