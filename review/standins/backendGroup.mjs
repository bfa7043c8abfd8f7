import { createServer } from "node:net";

/** Stand-in for one service of the platform: a primary and its replicas, as PROTOCOL.md describes them. */

const networkMs = 1;
const stepDownMs = 1_000;
const connectionMs = 2;
const maxQueued = 40;
/** The position before the first commit. */
const origin = { term: 1, number: 0, id: "-" };

function formatPosition(entry) {
    return `${entry.term}.${entry.number}`;
}

class Slots {
    constructor(count) {
        this.free = count;
        this.count = count;
        this.queue = [];
    }

    get busy() {
        return this.count - this.free;
    }

    /** Resolves to false if the queue is full. */
    take() {
        if (this.free > 0) {
            this.free--;
            return Promise.resolve(true);
        }
        if (this.queue.length >= maxQueued) return Promise.resolve(false);
        return new Promise(resolve => this.queue.push(() => resolve(true)));
    }

    give() {
        const next = this.queue.shift();
        if (next === undefined) this.free++;
        else next();
    }
}

/** One backend. Its log is `entries`; the first `applied` of them are applied. */
export class Backend {
    constructor(group, id, ip, zone) {
        this.group = group;
        this.id = id;
        this.ip = ip;
        this.zone = zone;
        this.isPrimary = false;
        this.isLeaving = false;
        this.term = 1;
        this.fenceTerm = 0;
        this.entries = [origin];
        this.applied = 1;
        this.lagMs = 10;
        this.applyTimer = Promise.resolve();
        this.slots = new Slots(group.options.slots);
        this.sockets = new Set();
        this.receipts = 0;
    }

    async listen() {
        this.server = createServer({ allowHalfOpen: false }, socket => this.serve(socket));
        await new Promise(resolve => this.server.listen(0, this.ip, resolve));
        this.address = `${this.ip}:${this.server.address().port}`;
    }

    close() {
        this.server.close();
        for (const socket of this.sockets) socket.destroy();
    }

    get received() {
        return this.entries.at(-1);
    }

    get position() {
        return this.entries[this.applied - 1];
    }

    /** Whether the applied log holds the entry at a position. */
    hasApplied(text) {
        const [term, number] = text.split(".").map(Number);
        const index = this.entries.findIndex(entry => entry.term === term && entry.number === number);
        return index >= 0 && index < this.applied;
    }

    append(id) {
        const entry = { term: this.term, number: this.received.number + 1, id };
        this.entries.push(entry);
        this.applied = this.entries.length;
        this.group.replicate(this);
        return entry;
    }

    /** Receives the log of the primary: drops what that one does not have, and applies what is new after the lag of this replica. */
    receive(primary) {
        if (this === primary || this.fenceTerm > primary.term || this.term > primary.term) return;
        this.term = primary.term;
        let common = 0;
        while (common < this.entries.length && this.entries[common] === primary.entries[common]) common++;
        this.entries = primary.entries.slice();
        this.applied = Math.min(this.applied, common);
        const count = this.entries.length;
        const term = this.term;
        setTimeout(() => {
            if (this.term === term && !this.isPrimary) this.applied = Math.max(this.applied, Math.min(count, this.entries.length));
        }, this.lagMs);
    }

    serve(socket) {
        this.sockets.add(socket);
        const session = { state: "I", readOnly: false, writes: [], prepared: new Map(), isOpen: true };
        let text = "";
        let work = Promise.resolve();
        socket.setNoDelay(true);
        socket.setEncoding("latin1");
        socket.on("error", () => socket.destroy());
        socket.on("close", () => {
            session.isOpen = false;
            this.sockets.delete(socket);
        });
        socket.on("data", data => {
            text += data;
            for (let end = text.indexOf("\r\n"); end >= 0; end = text.indexOf("\r\n")) {
                const line = text.slice(0, end);
                text = text.slice(end + 2);
                work = work.then(() => this.handleLine(socket, session, line));
            }
        });
    }

    async handleLine(socket, session, line) {
        const [verb, ...fields] = line.split(" ");
        if (verb === "QUIT") return socket.end();
        if (verb === "CONNECT") return this.logIn(socket, fields);
        const id = fields[0];
        const answer = await this.run(session, id, fields.slice(1));
        if (!socket.writable || this.group.losesAnswer({ id, backend: this })) return undefined;
        const rows = (answer.rows ?? []).map(row => `ROW ${row}\r\n`).join("");
        const result = answer.error === undefined ? `DONE ${answer.receipt ?? "-"}` : `ERR ${answer.error} ${this.id}`;
        socket.write(`${rows}${result}\r\nREADY ${session.state} ${formatPosition(this.position)}\r\n`, "latin1");
        return undefined;
    }

    async logIn(socket, [service, , id]) {
        await new Promise(resolve => setTimeout(resolve, connectionMs));
        let error;
        if (service !== this.group.name || (id !== undefined && id !== this.id)) error = "MISROUTED";
        else if (this.sockets.size > this.group.options.maxConnections) error = "TOOMANY";
        if (error === undefined) socket.write(`READY I ${formatPosition(this.position)}\r\n`);
        else socket.end(`ERR ${error} ${this.id}\r\n`);
    }

    async run(session, id, words) {
        let floor;
        if (words[0] === "AFTER") {
            floor = words[1];
            words = words.slice(2);
        }
        const [keyword, ...rest] = words;
        switch (keyword) {
            case "STATUS":
                return { rows: [this.formatStatus()] };
            case "PAUSE":
                if (!this.isPrimary && Number(rest[0]) > this.term) this.fenceTerm = Math.max(this.fenceTerm, Number(rest[0]));
                return { rows: [this.formatStatus()] };
            case "RESUME":
                this.fenceTerm = 0;
                return { rows: [this.formatStatus()] };
            case "DEMOTE":
                if (this.isPrimary && Number(rest[0]) > this.term) this.group.demote(this);
                return { rows: [this.formatStatus()] };
            case "SET":
            case "DEALLOC":
                return {};
            case "PREPARE":
                if (rest[1] !== "READ" && rest[1] !== "WRITE") return { error: "BADMSG" };
                session.prepared.set(rest[0], { mode: rest[1], shape: rest.slice(2).join(" ") });
                return {};
            case "RESET":
                session.prepared.clear();
                return {};
            case "ROLLBACK":
                session.state = "I";
                session.writes = [];
                return {};
            case "BEGIN":
                return this.begin(session, floor, rest[0] === "READ");
            default:
                return this.runInSlot(session, id, floor, keyword, rest);
        }
    }

    begin(session, floor, readOnly) {
        if (floor !== undefined && !this.hasApplied(floor)) return { error: "LAGGING" };
        if (!readOnly && !this.isPrimary) return { error: "READONLY" };
        Object.assign(session, { state: "T", readOnly, writes: [], term: this.term });
        return {};
    }

    async runInSlot(session, id, floor, keyword, rest) {
        if (floor !== undefined && !this.hasApplied(floor)) return { error: "LAGGING" };
        if (!(await this.slots.take())) return { error: "BUSY" };
        const prepared = keyword === "EXEC" ? session.prepared.get(rest[0]) : undefined;
        const note = { id, backend: this.id, keyword, prepared, startedAt: this.group.now() };
        this.group.onArrival(note);
        try {
            const isWrite = keyword === "WRITE" || prepared?.mode === "WRITE";
            await new Promise(resolve => setTimeout(resolve, this.group.getWorkMs(keyword, rest)));
            if (keyword !== "COMMIT" && keyword !== "READ" && keyword !== "EXEC" && !isWrite) return { error: "BADMSG" };
            if (!session.isOpen && session.state === "T") return { error: "ABORTED" };
            return this.finish(session, id, keyword, isWrite, note);
        }
        finally {
            this.slots.give();
        }
    }

    finish(session, id, keyword, isWrite, note) {
        const isTransaction = session.state === "T";
        const needsLead = isWrite || (isTransaction && !session.readOnly && (keyword !== "COMMIT" || session.writes.length > 0));
        if (needsLead && (!this.isPrimary || (isTransaction && session.term !== this.term))) {
            if (isTransaction) session.state = "E";
            return { error: "READONLY" };
        }
        if (isWrite && isTransaction) session.writes.push(id);
        const commits = (isWrite && !isTransaction) || (keyword === "COMMIT" && session.writes.length > 0);
        if (commits) note.entry = this.append(id);
        if (keyword === "COMMIT") Object.assign(session, { state: "I", writes: [] });
        Object.assign(note, { endedAt: this.group.now(), at: this.position });
        this.group.onRun(note);
        return { rows: isWrite || keyword === "COMMIT" ? [] : ["data"], receipt: `${this.id}/${id}/${++this.receipts}` };
    }

    formatStatus() {
        const role = this.isPrimary ? "primary" : "replica";
        const lag = this.isPrimary ? 0 : this.lagMs;
        return `${role} ${this.term} ${formatPosition(this.received)} ${this.fenceTerm} ${lag} ${this.slots.busy} ${this.sockets.size}`;
    }
}

/** The backends of one service. `options` holds `slots`, `maxConnections`, `promoteMs` and `getWorkMs(keyword, rest)`. */
export class BackendGroup {
    constructor(name, options, now) {
        this.name = name;
        this.options = options;
        this.now = now;
        this.backends = [];
        /** Called when a statement has its slot, before it runs. */
        this.onArrival = () => undefined;
        /** Called when a statement has run. */
        this.onRun = () => undefined;
        /** Whether the answer to a statement that a backend has handled is lost. */
        this.losesAnswer = () => false;
        /** Called when a backend's entry in service discovery changes. */
        this.onChanged = () => undefined;
        this.getWorkMs = options.getWorkMs;
        /** Whether two backends reach each other. */
        this.isLinked = () => true;
    }

    async add(id, ip, zone) {
        const backend = new Backend(this, id, ip, zone);
        await backend.listen();
        backend.isPrimary = this.backends.length === 0;
        this.backends.push(backend);
        return backend;
    }

    get primary() {
        return this.backends.find(backend => backend.isPrimary);
    }

    find(id) {
        return this.backends.find(backend => backend.id === id);
    }

    replicate(primary) {
        setTimeout(() => {
            if (!primary.isPrimary) return;
            for (const backend of this.backends) {
                if (!backend.isPrimary && this.isLinked(primary, backend)) backend.receive(primary);
            }
        }, networkMs);
    }

    demote(backend) {
        backend.isPrimary = false;
        this.onChanged(backend);
    }

    /** Carries out `POST /promote`. Resolves to the status of the answer. */
    async promote(id) {
        const chosen = this.find(id);
        if (chosen === undefined) return 409;
        if (chosen.isPrimary) return 200;
        setTimeout(() => this.lead(chosen), this.options.promoteMs);
        return 200;
    }

    lead(chosen) {
        const previous = this.backends.filter(backend => backend.isPrimary && backend !== chosen);
        chosen.term = 1 + Math.max(...this.backends.map(backend => backend.term));
        chosen.isPrimary = true;
        chosen.applied = chosen.entries.length;
        for (const backend of this.backends) {
            if (this.isLinked(chosen, backend)) backend.fenceTerm = 0;
        }
        this.onChanged(chosen);
        this.replicate(chosen);
        for (const backend of previous) {
            if (this.isLinked(chosen, backend)) setTimeout(() => this.stepDown(backend, chosen), stepDownMs);
        }
    }

    /** Says that backends reach each other again. A primary that has been replaced notices that a second later. */
    heal() {
        const primaries = this.backends.filter(backend => backend.isPrimary).sort((first, second) => second.term - first.term);
        const [current, ...replaced] = primaries;
        if (current === undefined) return;
        this.replicate(current);
        for (const backend of replaced) setTimeout(() => this.stepDown(backend, current), stepDownMs);
    }

    stepDown(backend, successor) {
        if (backend.term >= successor.term) return;
        this.demote(backend);
        this.replicate(successor);
    }

    close() {
        for (const backend of this.backends) backend.close();
    }
}
