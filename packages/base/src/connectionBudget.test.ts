import assert from "node:assert/strict";
import { test } from "node:test";
import { BudgetedConnection } from "./budgetedConnection";
import { ConnectionBudget } from "./connectionBudget";
import { Task } from "./task";

const mebibyte = 1_048_576;
const limits = {
    maxConnections: 3,
    maxHeldBytes: 4 * mebibyte,
    maxServedBytes: 2 * mebibyte,
    loginTimeoutMs: 2_000,
    messageTimeoutMs: 3_000,
    responseTimeoutMs: 4_000,
};

type FakeConnection = { -readonly [Key in keyof BudgetedConnection]: BudgetedConnection[Key]; };

function createBudget(): {
    readonly budget: ConnectionBudget;
    readonly closed: string[];
    add(name: string, fields?: Partial<FakeConnection>): FakeConnection;
} {
    const closed: string[] = [];
    const budget = ConnectionBudget.create(limits, (connection, reason) => closed.push(`${connection.remoteAddress} ${reason}`));
    const add = (name: string, fields: Partial<FakeConnection> = {}): FakeConnection => {
        const state = { isLoggedIn: true, isEnded: false, isServing: false, isReceiving: false, heldBytes: 0, sentWhileWaiting: undefined };
        const connection: FakeConnection = { remoteAddress: name, ...state, closeForLimit: () => undefined, ...fields };
        budget.add(connection);
        return connection;
    };
    return { budget, closed, add };
}

// Guards against connections beyond the limit, and against a crowd that keeps callers out who log in.
test("of too many connections the oldest one that has not logged in is closed", () => {
    const { budget, closed, add } = createBudget();
    add("a");
    add("b", { isLoggedIn: false });
    add("c", { isLoggedIn: false });
    add("d", { isLoggedIn: false });
    add("e", { isLoggedIn: false });
    assert.deepEqual(closed, ["b connection-count", "c connection-count"]);
    assert.equal(budget.connectionCount, 3);
});

// Guards against a caller that is closed because of a crowd that has held its memory for longer, or while its statement runs.
test("beyond the memory limit the connection that has held most for longest is closed first, and a served one last", () => {
    const { budget, closed, add } = createBudget();
    const stalled = add("stalled", { heldBytes: mebibyte, isReceiving: true });
    budget.update(stalled);
    for (let second = 0; second < 3; second++) budget.sweep();
    const fresh = add("fresh", { heldBytes: 2 * mebibyte });
    budget.update(fresh);
    const served = add("served", { heldBytes: 1.5 * mebibyte, isServing: true });
    budget.update(served);
    assert.deepEqual(closed, ["stalled memory"]);
    served.heldBytes = 3 * mebibyte;
    budget.update(served);
    assert.deepEqual(closed.slice(1), ["fresh memory"]);
    served.heldBytes = 5 * mebibyte;
    budget.update(served);
    assert.deepEqual(closed.slice(2), ["served memory"]);
    assert.equal(budget.heldBytes, 0);
});

// Guards against connections that never log in, messages that stop half-way and responses that are not read, and against closing those that progress.
test("logins, messages and responses have time limits", () => {
    const { budget, closed, add } = createBudget();
    add("login", { isLoggedIn: false });
    add("idle");
    const reading = add("reading", { sentWhileWaiting: 0 });
    for (let second = 0; second < 3; second++) budget.sweep();
    add("message", { isReceiving: true });
    for (let second = 0; second < 5; second++) {
        reading.sentWhileWaiting!++;
        budget.sweep();
    }
    assert.deepEqual(closed, ["login login-time", "message message-time"]);
    for (let second = 0; second < 5; second++) budget.sweep();
    assert.deepEqual(closed.slice(2), ["reading response-time"]);
});

// Guards against large statements that run together beyond the memory, and against small or single ones that wait.
test("large messages wait until there is room to execute them", () => {
    const { budget } = createBudget();
    const first = Task.start(budget.startServing(3 * mebibyte));
    const small = Task.start(budget.startServing(1_000));
    const second = Task.start(budget.startServing(mebibyte));
    assert.deepEqual([first.isSettled, small.isSettled, second.isSettled], [true, true, false]);
    budget.finishServing(2 * mebibyte);
    assert.equal(second.isSettled, true);
});
