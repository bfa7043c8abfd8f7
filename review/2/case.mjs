import { Deployment, sleep } from "../standins/deployment.mjs";
import { LineClient } from "../standins/lineClient.mjs";

/** STALE: a machine that stands still while the answer to a write is on its way afterwards serves reads that are too old. */

const maxStalenessMs = 1_500;
const freezeMs = 800;
const rounds = 4;
/** Replicas apply this late: within what replica_lag with x = 150 makes of the usual 20 ms (3,000 ms). */
const laggingMs = 1_700;
const usualLagMs = 20;
const trouble = process.env.TROUBLE ?? "1";
const isFrozen = trouble === "1";

const deployment = await Deployment.create(import.meta.url, { group: { getWorkMs: keyword => keyword === "READ" ? 8 : 30 } });
const { group, now } = deployment;
const [frozen, ...others] = deployment.machines;

/** Acknowledged commits: the entry in the log and the time at which the client had the answer. */
const commits = [];
/** Reads by their id: when the client sent the first byte. */
const reads = new Map();
const entriesById = new Map();
const violations = [];
let arrived = () => undefined;
let nextId = 1;
let isOver = false;

group.onArrival = note => arrived(note.id);
group.onRun = note => {
    if (note.entry !== undefined) entriesById.set(note.id, note.entry);
    const sentAt = reads.get(note.id);
    if (sentAt === undefined) return;
    const backend = group.find(note.backend);
    const missing = commits.find(({ entry, ackedAt }) => ackedAt < sentAt - maxStalenessMs && backend.entries.indexOf(entry) >= backend.applied);
    if (missing === undefined) return;
    const age = (sentAt - missing.ackedAt).toFixed(0);
    const { term, number } = missing.entry;
    violations.push(
        `STALE: read ${note.id}, sent at ${sentAt.toFixed(1)} ms, ran at ${note.backend} on a log that ends at ${note.at.term}.${note.at.number} `
            + `and lacks commit ${term}.${number}, acknowledged ${age} ms before`,
    );
};

async function write(client, id) {
    const answer = await client.query(id, `WRITE 1a4 v${id}`);
    if (answer.error === undefined && answer.isComplete) commits.push({ entry: entriesById.get(id), ackedAt: answer.endedAt });
    deployment.record(`write ${id} sent at ${answer.sentAt.toFixed(1)}, ${answer.error ?? `acknowledged as ${entriesById.get(id)?.number}`}`);
}

async function writeOften(machine) {
    const client = new LineClient(machine.address, now);
    await client.logIn("orders");
    while (!isOver && !client.isClosed) {
        await write(client, `w${nextId++}`);
        await sleep(20);
    }
}

async function readOften(machine) {
    const client = new LineClient(machine.address, now);
    await client.logIn("views");
    while (!isOver && !client.isClosed) {
        const id = `r${nextId++}`;
        reads.set(id, now());
        const answer = await client.query(id, "READ 1a4");
        deployment.record(`read ${id} sent at ${answer.sentAt.toFixed(1)}, ${answer.error ?? `answered by ${answer.receipt}`}`);
        await sleep(15);
    }
}

async function freezeDuringWrite() {
    const client = new LineClient(frozen.address, now);
    await client.logIn("orders");
    const id = `f${nextId++}`;
    const runs = new Promise(resolve => arrived = arrivedId => arrivedId === id && resolve());
    const written = write(client, id);
    await runs;
    if (isFrozen) {
        frozen.signal("SIGSTOP");
        deployment.record(`${frozen.id} stands still while ${id} runs`);
        await sleep(freezeMs);
        frozen.signal("SIGCONT");
        deployment.record(`${frozen.id} goes on`);
    }
    await written;
    client.close();
}

for (const backend of group.backends.slice(1)) backend.lagMs = trouble === "0" ? usualLagMs : laggingMs;
const load = [...others.map(writeOften), ...Array.from({ length: 4 }, () => readOften(frozen))];
await sleep(3_000);
for (let round = 0; round < rounds; round++) {
    await freezeDuringWrite();
    await sleep(4_000);
}
isOver = true;
await Promise.all(load);
deployment.record(`${commits.length} commits acknowledged, ${reads.size} reads sent`);
const isUsable = commits.length > 100 && reads.size > 100;
await deployment.finish(violations, isUsable ? undefined : "too few statements were served");
