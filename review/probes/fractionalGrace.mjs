import { Deployment, sleep } from "../standins/deployment.mjs";
import { LineClient } from "../standins/lineClient.mjs";

/** LOST: where the platform's settings give the grace period as a fraction, a machine that is asked to stop ends at once. */

const trouble = process.env.TROUBLE ?? "1";
const graceS = trouble === "whole" ? 6 : 6.5;
const isStopped = trouble !== "0";

const deployment = await Deployment.create(import.meta.url, { graceS, group: { getWorkMs: keyword => keyword === "READ" ? 55 : 30 } });
const { group, now } = deployment;
/** What the backends got, by the id of the statement. */
const arrivals = new Map();
const violations = [];
let nextId = 1;
let served = 0;
let isOver = false;

group.onArrival = note => arrivals.set(note.id, note);

/** Records a request that ended without a complete answer, and whether the rule allows it. */
function judge(machine, id, answer) {
    const arrival = arrivals.get(id);
    const { stoppedAt } = machine;
    deployment.record(
        `${id} at ${machine.id}: sent at ${answer.sentAt.toFixed(1)}, cut at ${answer.endedAt.toFixed(1)}, at a backend: ${arrival !== undefined}`,
    );
    const isPlanned = stoppedAt !== undefined && answer.endedAt <= stoppedAt + graceS * 1_000 + 1_000;
    const isExcused = answer.endedAt >= stoppedAt + graceS * 1_000 * 5 / 6 && answer.sentAt <= stoppedAt + 3_000;
    if (arrival === undefined || !isPlanned || isExcused) return;
    violations.push(
        `LOST: ${id} was sent to ${machine.id} at ${answer.sentAt.toFixed(1)} ms and reached ${arrival.backend}, but its connection ended without an answer `
            + `${(answer.endedAt - stoppedAt).toFixed(0)} ms after the SIGTERM, of ${graceS * 1_000} ms of grace`,
    );
}

/** Sends requests over one connection until the machine closes it. */
async function runSession(machine, database, text) {
    const client = new LineClient(machine.address, now);
    if (!(await client.logIn(database))) return;
    while (!isOver && !client.isClosed) {
        const id = `q${nextId++}`;
        const answer = await client.query(id, text);
        if (answer.isComplete) served++;
        else judge(machine, id, answer);
        await sleep(10);
    }
    client.close();
}

for (const machine of deployment.machines.slice(0, 2)) {
    isOver = false;
    const sessions = [
        ...Array.from({ length: 3 }, () => runSession(machine, "views", "READ 1a4")),
        ...Array.from({ length: 2 }, () => runSession(machine, "orders", "WRITE 1a4 x")),
    ];
    await sleep(3_000);
    if (isStopped) {
        machine.stoppedAt = now();
        machine.signal("SIGTERM");
        deployment.record(`${machine.id} gets SIGTERM`);
        await Promise.all([...sessions, machine.exited]);
        deployment.record(`${machine.id} has ended ${(machine.exit.at - deployment.startedAt - machine.stoppedAt).toFixed(0)} ms after the SIGTERM`);
    }
    else {
        await sleep(3_000);
        isOver = true;
        await Promise.all(sessions);
    }
}
await deployment.finish(violations, served > 50 ? undefined : "too few requests were served");
