import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SessionValues } from "../entry/sessionValues";
import { FakeLink } from "../testing/fakeLink";
import { TestBed } from "../testing/testBed";
import { UpstreamConnection } from "./upstreamConnection";

const seed = 20261205;
const definitionArbitrary = fc.record({ shape: fc.constantFrom("q", "q READ z", "q WRITE z", "WRITE z", " q", "q "), readOnly: fc.boolean() });
const valuesArbitrary = fc.dictionary(fc.constantFrom("a", "b", "c"), fc.constantFrom("1", "2"));

// Guards against statements that run on a shared connection with the values of another session.
test("a connection has exactly the values of the session that was applied to it", () => {
    fc.assert(
        fc.property(fc.array(valuesArbitrary, { minLength: 1, maxLength: 6 }), sessions => {
            const bed = TestBed.create();
            const link = FakeLink.create(bed.fakeGroup.find("u1"), bed.clock);
            const connection = UpstreamConnection.create(link);
            for (const values of sessions) {
                const session = SessionValues.create();
                for (const [name, value] of Object.entries(values)) session.values.set(name, value);
                assert.equal(bed.run(connection.applySession(session)), true);
                assert.deepEqual(new Map([...link.sessionValues].sort()), new Map([...session.values].sort()));
            }
        }),
        { seed: 20261204 },
    );
});

// Guards against a shape with spaces that is taken for the name, mode and shape of another session's prepared statement.
test("a prepared name is one word and stands for the definition that was prepared under it", () => {
    fc.assert(
        fc.property(fc.array(definitionArbitrary, { minLength: 1, maxLength: 12 }), definitions => {
            const bed = TestBed.create();
            const link = FakeLink.create(bed.fakeGroup.find("u1"), bed.clock);
            const connection = UpstreamConnection.create(link);
            const names = definitions.map(definition => bed.run(connection.prepare(definition))!);
            for (const [index, name] of names.entries()) {
                assert.match(name, /^[a-z0-9]+$/);
                assert.deepEqual(link.preparedStatements.get(name), { ...definitions[index] });
            }
        }),
        { seed },
    );
});

// Guards against prepared statements of many sessions that pile up on a connection which is used for days,
// and against a reset within a transaction, whose statements apply the session too.
test("a connection with many long prepared statements is reset when it is taken over, and not before", () => {
    const bed = TestBed.create();
    const link = FakeLink.create(bed.fakeGroup.find("u1"), bed.clock);
    const connection = UpstreamConnection.create(link);
    for (let index = 0; index < 3; index++) bed.run(connection.prepare({ shape: `${index}${"x".repeat(100_000)}`, readOnly: true }));
    assert.equal(bed.run(connection.applySession(SessionValues.create())), true);
    assert.equal(link.preparedStatements.size, 3);
    assert.equal(bed.run(connection.takeOver(SessionValues.create())), true);
    assert.equal(link.preparedStatements.size, 0);
    const name = bed.run(connection.prepare({ shape: "q", readOnly: true }))!;
    assert.ok(link.preparedStatements.has(name));
});
