import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SessionValues } from "./sessionValues";

// Guards against a length that drifts from what is held, so that a caller is never closed, or closed for what it has replaced.
test("the length is that of the names, values and shapes that are held", () => {
    const name = fc.constantFrom("a", "bb", "");
    const change = fc.record({ kind: fc.constantFrom("set", "prepare", "deallocate"), name, text: fc.string({ maxLength: 5 }) });
    fc.assert(fc.property(fc.array(change, { maxLength: 12 }), changes => {
        const session = SessionValues.create();
        for (const { kind, name: changed, text } of changes) {
            if (kind === "set") session.setValue(changed, text);
            else if (kind === "prepare") session.prepare(changed, { shape: text, readOnly: true });
            else session.deallocate(changed);
        }
        const texts = [...[...session.values].flat(), ...[...session.prepared].flatMap(([key, { shape }]) => [key, shape])];
        assert.equal(session.length, texts.join("").length);
    }));
});
