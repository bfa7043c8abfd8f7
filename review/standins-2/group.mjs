/** Stand-in of one service: a primary and its replicas over the line protocol, with replication, fences and promotion. */
import { createServer } from "node:net";
import { LineConnection } from "./lineConnection.mjs";

const host = "127.0.0.1";
const replicationMs = 8;
const heartbeatMs = 1_200;
const oldPrimaryMs = 1_000;

function splitOnce(text) {
    const space = text.indexOf(" ");
    return space < 0 ? [text, ""] : [text.slice(0, space), text.slice(space + 1)];
}

function compare(first, second) {
    return first.term - second.term || first.number - second.number;
}

export class Backend {
    isPrimary = false;
    term = 1;
    fence = 0;
    log = [];
    /** Receives nothing over the network from the primary. */
    isDeaf = false;
    /** Neither answers nor reports, as if it had crashed without a trace. */
    isDark = false;
    state = "ready";
    reports = 0;
    connections = new Set();

    constructor(group, id, zone) {
        this.group = group;
        this.id = id;
        this.zone = zone;
        this.born = Date.now();
    }

    async listen() {
        this.server = createServer(socket => this.serve(socket));
        await new Promise(resolve => this.server.listen(0, host, resolve));
        this.address = `${host}:${this.server.address().port}`;
        this.report();
        this.heartbeat = setInterval(() => this.report(), heartbeatMs);
    }

    close() {
        clearInterval(this.heartbeat);
        this.server.close();
        for (const connection of this.connections) connection.socket.destroy();
    }

    get position() {
        const last = this.log.at(-1);
        return last === undefined ? { term: 1, number: 0 } : { term: last.term, number: last.number };
    }

    get positionText() {
        return `${this.position.term}.${this.position.number}`;
    }

    report() {
        if (this.isDark) return;
        this.reports++;
        this.group.store.put(
            `servers/${this.id}`,
            JSON.stringify({
                service: this.group.service,
                addr: this.address,
                zone: this.zone,
                version: "1",
                slots: 5,
                state: this.state,
                cold_left_ms: 0,
                db_role: this.isPrimary ? "primary" : "replica",
                born: this.born,
                seq: this.reports,
            }),
        );
    }

    serve(socket) {
        const session = { state: "I", writes: [], prepared: new Map() };
        const connection = new LineConnection(socket, line => this.handle(connection, session, line), () => this.connections.delete(connection));
        this.connections.add(connection);
    }

    handle(connection, session, line) {
        if (this.isDark) return;
        const [verb, fields] = splitOnce(line);
        if (verb === "CONNECT") {
            const [service, , id] = fields.split(" ");
            const isExpected = service === this.group.service && (id === undefined || id === this.id);
            if (isExpected) return connection.send(`READY I ${this.positionText}`);
            connection.send("ERR MISROUTED wrong name");
            return connection.socket.end();
        }
        if (verb === "QUIT") return connection.socket.end();
        const [id, text] = splitOnce(fields);
        this.query(connection, session, id, text);
    }

    query(connection, session, id, text) {
        const finish = (...lines) => connection.send(...lines, `READY ${session.state} ${this.positionText}`);
        const fail = code => {
            if (session.state === "T") session.state = "E";
            finish(`ERR ${code} ${this.id}`);
        };
        const [verb, rest] = splitOnce(text);
        if (verb === "AFTER") {
            const [floor, statement] = splitOnce(rest);
            const [term, number] = floor.split(".").map(Number);
            return compare(this.position, { term, number }) < 0 ? fail("LAGGING") : this.query(connection, session, id, statement);
        }
        if (verb === "STATUS" || verb === "PAUSE" || verb === "DEMOTE") {
            this.control(verb, Number(rest));
            return finish(`ROW ${this.status}`, "DONE -");
        }
        if (session.state === "E" && verb !== "ROLLBACK" && verb !== "COMMIT") return fail("BADMSG");
        const [item, data] = splitOnce(rest);
        switch (verb) {
            case "SET":
            case "RESET":
                return finish("DONE -");
            case "BEGIN":
                if (!this.isPrimary && rest !== "READ") return fail("READONLY");
                session.state = "T";
                return finish("DONE -");
            case "ROLLBACK":
                Object.assign(session, { state: "I", writes: [] });
                return finish("DONE -");
            case "READ":
                this.group.record(`run ${this.id} ${id} ${text.slice(0, 60)}`);
                return this.group.answerRead(this, item, rows => {
                    if (Buffer.isBuffer(rows)) connection.socket.write(rows);
                    else connection.send(...rows.map(row => `ROW ${row}`));
                    finish(`DONE ${this.id}.${id}`);
                });
            case "WRITE":
                if (!this.isPrimary) return fail("READONLY");
                this.group.record(`run ${this.id} ${id} ${text.slice(0, 60)}`);
                session.writes.push({ item, data, id });
                return session.state === "T" ? finish(`DONE ${this.id}.${id}`) : this.commit(session, () => finish(`DONE ${this.id}.${id}`));
            case "COMMIT": {
                const hasFailed = session.state === "E";
                session.state = "I";
                if (hasFailed || session.writes.length === 0) return finish(`DONE ${this.id}.${id}`);
                if (!this.isPrimary) return fail("READONLY");
                return this.commit(session, () => finish(`DONE ${this.id}.${id}`));
            }
            default:
                fail("BADMSG");
        }
    }

    get status() {
        return `${this.isPrimary ? "primary" : "replica"} ${this.term} ${this.positionText} ${this.fence} 0 0 ${this.connections.size}`;
    }

    control(verb, term) {
        if (verb === "PAUSE" && !this.isPrimary && term > this.term) this.fence = term;
        if (verb === "DEMOTE" && this.isPrimary && term > this.term) this.becomeReplica();
    }

    becomeReplica() {
        this.isPrimary = false;
        this.report();
    }

    /** Appends a commit, sends it to the replicas and acknowledges it: with `syncReplicas`, once a replica has received it. */
    commit(session, acknowledge) {
        const entry = { term: this.term, number: this.position.number + 1, writes: session.writes };
        session.writes = [];
        this.log.push(entry);
        this.group.record(`commit ${this.id} ${entry.term}.${entry.number} ${entry.writes.map(({ id }) => id).join()}`);
        let isAcknowledged = this.group.syncReplicas === 0;
        if (isAcknowledged) acknowledge();
        for (const other of this.group.backends) {
            if (other === this) continue;
            setTimeout(() => {
                if (!other.receive(this) || isAcknowledged) return;
                isAcknowledged = true;
                acknowledge();
            }, replicationMs);
        }
    }

    /** Receives what it lacks of the primary's log. Returns whether it now has all of it. */
    receive(primary) {
        if (this.isDark || this.isDeaf || this.fence > 0 || primary.isDark || this.isPrimary || primary.term < this.term) return false;
        this.term = primary.term;
        this.log = [...primary.log];
        return true;
    }
}

export class Group {
    /** 1 if a commit is acknowledged once one replica has received it. */
    syncReplicas = 0;
    /** Called when a promotion has taken effect. */
    onPromoted = () => undefined;
    /** Answers a READ: calls `send` with the rows, or with a buffer of the encoded rows. */
    answerRead = (backend, item, send) => send([backend.log.flatMap(({ writes }) => writes).findLast(write => write.item === item)?.data ?? "empty"]);

    constructor(store, service, record) {
        this.store = store;
        this.service = service;
        this.record = record;
        this.backends = ["i-1", "i-2", "i-3"].map((id, index) => new Backend(this, id, `zone-${index + 1}`));
        this.backends[0].isPrimary = true;
    }

    async start() {
        for (const backend of this.backends) await backend.listen();
        this.feed = setInterval(() => this.feedReplicas(), 50);
    }

    close() {
        clearInterval(this.feed);
        for (const backend of this.backends) backend.close();
    }

    /** Lets replicas that fell behind catch up, and learn of a new primary. */
    feedReplicas() {
        const primary = this.backends.filter(({ isPrimary, isDark }) => isPrimary && !isDark).sort((first, second) => second.term - first.term)[0];
        if (primary === undefined) return;
        for (const other of this.backends) {
            if (other !== primary && !other.isPrimary) other.receive(primary);
        }
    }

    /** Some hundred ms after the call the backend leads the next term with what it had received. Ends the fences. */
    promote(id) {
        const backend = this.backends.find(candidate => candidate.id === id);
        if (backend === undefined || backend.isDark) return 409;
        this.record(`promote ${id} accepted`);
        if (backend.isPrimary) return 200;
        setTimeout(() => {
            const others = this.backends.filter(other => other !== backend);
            backend.term = Math.max(...this.backends.map(({ term }) => term)) + 1;
            backend.isPrimary = true;
            for (const member of this.backends) member.fence = 0;
            this.record(`promoted ${id} term ${backend.term} log ${backend.positionText}`);
            this.onPromoted(backend);
            backend.report();
            for (const other of others) {
                if (other.isPrimary) setTimeout(() => other.becomeReplica(), oldPrimaryMs);
            }
        }, 300);
        return 200;
    }
}
