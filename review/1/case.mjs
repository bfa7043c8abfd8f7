import { Deployment, sleep } from "../standins/deployment.mjs";
import { LineClient, promises } from "../standins/lineClient.mjs";

/** TWICE: a write to an item that has the name of a statement which its session has prepared for reading is repeated after a lost answer. */

const lostForMs = 4_000;
/** One answer in this many is lost: x = 0.2 of answer_lost. */
const lostEvery = 5;
/** The item that is written. With TROUBLE=apart the prepared statement has another name, and answers are lost all the same. */
const item = "basket";
const trouble = process.env.TROUBLE ?? "1";
const preparedName = trouble === "apart" ? "s1" : item;
const losesAnswers = trouble !== "0";

const deployment = await Deployment.create(import.meta.url, { group: { getWorkMs: () => 11 } });
const { group, now } = deployment;
/** Commits in the log of the primary, by the id of the client's statement. */
const runs = new Map();
const violations = [];
let isLosing = false;
let answers = 0;
let isOver = false;
let acknowledged = 0;

group.losesAnswer = ({ id, backend }) => {
    const isLost = isLosing && backend.isPrimary && id !== "-" && ++answers % lostEvery === 0;
    if (isLost) deployment.record(`the answer to ${id} is lost`);
    return isLost;
};
group.onRun = note => {
    if (note.entry === undefined) return;
    const entries = [...(runs.get(note.id) ?? []), note.entry];
    runs.set(note.id, entries);
    deployment.record(`${note.backend} commits ${note.id} as ${note.entry.term}.${note.entry.number}`);
};

async function writeOften(machine) {
    for (let session = 1; !isOver; session++) {
        const client = new LineClient(machine.address, now);
        await client.logIn("orders");
        await client.query(`${machine.id}s${session}p`, `PREPARE ${preparedName} READ q2c`);
        for (let number = 1; !isOver && !client.isClosed; number++) {
            const id = `${machine.id}s${session}w${number}`;
            const answer = await client.query(id, `WRITE ${item} v${number}`);
            deployment.record(`write ${id} sent at ${answer.sentAt.toFixed(1)}: ${answer.error ?? `acknowledged with ${answer.receipt}`}`);
            if (answer.error === undefined) acknowledged++;
            const entries = runs.get(id) ?? [];
            const list = entries.map(entry => `${entry.term}.${entry.number}`).join(" and ");
            if (entries.length > 1) violations.push(`TWICE: ${id} was sent once and is in the log as ${list}; its client got ${answer.error ?? "DONE"}`);
            else if (entries.length > 0 && promises.has(answer.error)) {
                violations.push(`REFUSED: ${id} is in the log as ${list}; its client got ${answer.error}`);
            }
            await sleep(40);
        }
        client.close();
    }
}

const sessions = deployment.machines.map(writeOften);
await sleep(2_000);
isLosing = losesAnswers;
await sleep(lostForMs);
isLosing = false;
await sleep(2_000);
isOver = true;
await Promise.all(sessions);
deployment.record(`${acknowledged} writes acknowledged, ${runs.size} ids in the log`);
await deployment.finish(violations, acknowledged > 50 ? undefined : "too few writes were acknowledged");
