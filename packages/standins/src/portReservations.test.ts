import assert from "node:assert/strict";
import { createServer } from "node:net";
import { test } from "node:test";
import { PortReservations } from "./portReservations";

// Guards against two processes that get the same port because neither listens on it yet.
test("reservations never share a port, also those of other owners and those on which something listens", async context => {
    const [first, second] = [PortReservations.create(), PortReservations.create()];
    context.after(() => [first, second].forEach(reservations => reservations.release()));
    const ports = await Promise.all(Array.from({ length: 200 }, (_, index) => (index % 2 === 0 ? first : second).reserve()));
    assert.equal(new Set(ports).size, ports.length);
    const server = createServer().listen(ports[0], "127.0.0.1");
    context.after(() => server.close());
    await new Promise(resolve => server.once("listening", resolve));
});
