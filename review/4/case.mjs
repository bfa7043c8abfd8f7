import { Deployment, sleep } from "../standins/deployment.mjs";
import { LineClient } from "../standins/lineClient.mjs";

/** PINNED: a statement that a client has prepared for reading runs as a write of the shape that another client has prepared. */

const readerCount = 4;
const readerShape = "q";
/** The last field of a line extends to its end, so a shape may contain blanks. */
const otherShape = (process.env.TROUBLE ?? "1") === "0" ? "z" : "q WRITE z";

const deployment = await Deployment.create(import.meta.url, {});
const { group, now } = deployment;
const [machine] = deployment.machines;
/** What the client of a statement has prepared under the name that it executes, by the id of the statement. */
const prepared = new Map();
const violations = [];
let isOver = false;
let served = 0;

group.onRun = note => {
    const wanted = prepared.get(note.id);
    if (wanted === undefined || note.prepared === undefined) return;
    const { mode, shape } = note.prepared;
    const committed = note.entry === undefined ? "" : ` and committed as ${note.entry.term}.${note.entry.number}`;
    deployment.record(`${note.id} ran at ${note.backend} as ${mode} ${shape}${committed}`);
    if (mode === wanted.mode && shape === wanted.shape) return;
    violations.push(`PINNED: ${note.id} ran at ${note.backend} as ${mode} ${shape}${committed}; its client prepared ${wanted.mode} ${wanted.shape}`);
};

/** Prepares a statement for reading under the name s1 and executes it often. */
async function execute(client, shape, pauseMs) {
    const session = new LineClient(machine.address, now);
    await session.logIn("orders");
    const answer = await session.query(`${client}p`, `PREPARE s1 READ ${shape}`);
    deployment.record(`${client} prepares s1 as READ ${shape}: ${answer.error ?? `DONE ${answer.receipt}`}`);
    for (let number = 1; !isOver && !session.isClosed; number++) {
        const id = `${client}e${number}`;
        prepared.set(id, { mode: "READ", shape });
        const executed = await session.query(id, "EXEC s1 1a4");
        if (executed.error === undefined) served++;
        else deployment.record(`${id} gets ${executed.error}`);
        await sleep(pauseMs);
    }
    session.close();
}

const readers = Array.from({ length: readerCount }, (_, index) => execute(`reader${index + 1}`, readerShape, 30));
await sleep(2_000);
const other = execute("other", otherShape, 300);
await sleep(4_000);
isOver = true;
await Promise.all([...readers, other]);
const commits = group.primary.entries.length - 1;
deployment.record(`${served} statements served, ${commits} commits in the log although no client has sent or prepared a write`);
await deployment.finish(violations, served > 100 ? undefined : "too few statements were served");
