import { createServer } from "node:http";

/** Stand-in for the platform's store and its promotion call, as PROTOCOL.md describes them. */

const answerMs = 4;
const heartbeatMs = 1_200;
const minLeaseMs = 1_000;
/** A backend's entry is removed after this many heartbeat intervals of silence. */
const silentIntervals = 3;

function readBody(req) {
    return new Promise(resolve => {
        let text = "";
        req.setEncoding("utf8");
        req.on("data", data => text += data);
        req.on("end", () => resolve(text === "" ? undefined : JSON.parse(text)));
    });
}

async function listen(ip, handle) {
    const server = createServer({ keepAliveTimeout: 60_000 }, (req, res) => {
        readBody(req).then(body =>
            handle(req, body, (status, answer) => {
                if (res.destroyed) return;
                res.writeHead(status, { "Content-Type": "application/json", "Store-Era": "1" });
                res.end(JSON.stringify(answer));
            }, res), () => res.destroy());
    });
    await new Promise(resolve => server.listen(0, ip, resolve));
    return { server, address: `${ip}:${server.address().port}` };
}

export class Platform {
    constructor() {
        this.items = new Map();
        this.events = [];
        this.revision = 100;
        this.leases = new Map();
        this.lastLease = 0;
        this.watches = new Set();
        this.reportNumber = 0;
        /** Called with the holder, the token, the service and the id of each promotion call that arrives. */
        this.onPromote = () => undefined;
        /** Called with the id of a backend whose entry is removed. */
        this.onLapsed = () => undefined;
        this.groups = [];
        /** Whether a backend cannot reach the store. */
        this.isCutOff = () => false;
        /** When the latest heartbeat of each backend arrived. */
        this.heartbeats = new Map();
    }

    async start(ip) {
        const store = await listen(ip, (req, body, answer, res) => setTimeout(() => this.handleStore(req, body, answer, res), answerMs));
        const duties = await listen(ip, (req, body, answer) => this.handleDuty(req, body, answer));
        this.servers = [store.server, duties.server];
        this.storeAddress = store.address;
        this.dutyAddress = duties.address;
        this.timer = setInterval(() => {
            this.endLeases();
            this.removeSilentBackends();
        }, 20);
    }

    /** Listens on one more address of the store, where a machine gets the addresses of backends by which it reaches them. */
    async openStoreFor(ip, mapAddress) {
        const mapItem = item => {
            if (!item.key.startsWith("servers/") || item.value === undefined) return item;
            const entry = JSON.parse(Buffer.from(item.value, "base64").toString());
            return { ...item, value: Buffer.from(JSON.stringify({ ...entry, addr: mapAddress(entry.addr) })).toString("base64") };
        };
        const { server, address } = await listen(ip, (req, body, answer, res) => {
            const answerMapped = (status, { items, events, key, ...rest }) => {
                const mapped = key === undefined ? rest : mapItem({ key, ...rest });
                answer(status, { ...mapped, ...(items && { items: items.map(mapItem) }), ...(events && { events: events.map(mapItem) }) });
            };
            setTimeout(() => this.handleStore(req, body, answerMapped, res), answerMs);
        });
        this.servers.push(server);
        return address;
    }

    addGroup(group) {
        this.groups.push(group);
        group.onChanged = backend => this.report(backend);
        for (const backend of group.backends) this.report(backend);
        this.beatTimer = setInterval(() => {
            this.latestBeatAt = performance.now();
            for (const backend of group.backends) this.report(backend);
        }, heartbeatMs);
    }

    /** Time until the next heartbeats, in milliseconds. */
    get untilNextBeatMs() {
        return this.latestBeatAt + heartbeatMs - performance.now();
    }

    removeSilentBackends() {
        const now = performance.now();
        for (const [id, beatAt] of this.heartbeats) {
            if (now - beatAt < silentIntervals * heartbeatMs) continue;
            this.heartbeats.delete(id);
            this.onLapsed(id);
            this.remove(`servers/${id}`, ++this.revision);
            this.notify();
        }
    }

    /** Writes the entry of a backend as its heartbeat would. */
    report(backend) {
        if (this.isCutOff(backend)) return;
        this.heartbeats.set(backend.id, performance.now());
        const entry = {
            service: backend.group.name,
            addr: backend.address,
            zone: backend.zone,
            version: "1",
            slots: backend.group.options.slots,
            state: backend.isLeaving ? "draining" : "ready",
            cold_left_ms: 0,
            db_role: backend.isPrimary ? "primary" : "replica",
            born: 1,
        };
        const key = `servers/${backend.id}`;
        const known = this.items.get(key);
        const text = JSON.stringify(entry);
        // The entry changes when more than `seq` changes.
        if (known !== undefined && JSON.stringify({ ...JSON.parse(Buffer.from(known.value, "base64").toString()), seq: undefined }) === text) return;
        this.put(key, JSON.stringify({ ...entry, seq: ++this.reportNumber }));
    }

    put(key, text) {
        this.write(key, Buffer.from(text, "utf8").toString("base64"), 0, ++this.revision);
        this.notify();
    }

    write(key, value, lease, revision) {
        const item = { key, value, revision, created: this.items.get(key)?.created ?? revision, lease };
        this.items.set(key, item);
        this.events.push(item);
    }

    remove(key, revision) {
        if (this.items.delete(key)) this.events.push({ key, revision, tombstone: true });
    }

    notify() {
        for (const check of [...this.watches]) check();
    }

    endLeases() {
        const now = Date.now();
        for (const [id, lease] of this.leases) {
            if (now < lease.endsAt) continue;
            this.leases.delete(id);
            const keys = [...this.items.values()].filter(item => item.lease === id).map(item => item.key);
            if (keys.length === 0) continue;
            this.revision++;
            for (const key of keys) this.remove(key, this.revision);
            this.notify();
        }
    }

    handleStore(req, body, answer, res) {
        const url = new URL(req.url, "http://store");
        const path = url.pathname;
        if (req.method === "GET" && path === "/-/kv-key") return this.readKey(url.searchParams.get("key"), answer);
        if (req.method === "GET" && path === "/-/kv-range") return this.readRange(url.searchParams.get("prefix") ?? "", answer);
        if (req.method === "GET" && path === "/-/kv-watch") return this.watch(url.searchParams, res, answer);
        if (req.method === "POST" && path === "/-/kv-txn") return this.commit(body, answer);
        if (req.method === "POST" && path === "/-/kv-lease") {
            const ttlMs = Math.max(minLeaseMs, body.ttl_ms);
            this.leases.set(++this.lastLease, { ttlMs, endsAt: Date.now() + ttlMs });
            return answer(200, { lease: this.lastLease, ttl_ms: ttlMs });
        }
        if (req.method === "POST" && path.startsWith("/-/kv-keep/")) {
            const lease = this.leases.get(Number(path.split("/").at(-1)));
            if (lease === undefined) return answer(404, {});
            lease.endsAt = Date.now() + lease.ttlMs;
            return answer(200, { ttl_ms: lease.ttlMs });
        }
        return answer(404, {});
    }

    readKey(key, answer) {
        const item = this.items.get(key);
        if (item === undefined) return answer(404, { store_revision: this.revision });
        return answer(200, { ...item, store_revision: this.revision });
    }

    readRange(prefix, answer) {
        const items = [...this.items.values()].filter(item => item.key.startsWith(prefix));
        answer(200, { items, has_more: false, store_revision: this.revision });
    }

    watch(query, res, answer) {
        const prefix = query.get("prefix") ?? "";
        const after = Number(query.get("after"));
        let timer;
        const finish = events => {
            clearTimeout(timer);
            this.watches.delete(check);
            answer(200, { events, store_revision: this.revision });
        };
        const check = () => {
            const events = this.events.filter(event => event.revision > after && event.key.startsWith(prefix));
            if (events.length > 0) finish(events);
        };
        timer = setTimeout(() => finish([]), Number(query.get("wait_ms")));
        res.once("close", () => {
            clearTimeout(timer);
            this.watches.delete(check);
        });
        this.watches.add(check);
        check();
    }

    commit(body, answer) {
        const holds = body.expect.every(({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision);
        if (!holds) return answer(412, { items: body.expect.flatMap(({ key }) => this.items.get(key) ?? []) });
        if (body.puts.some(({ lease }) => lease !== undefined && lease !== 0 && !this.leases.has(lease))) return answer(404, {});
        this.revision++;
        for (const { key, value, lease } of body.puts) this.write(key, value, lease ?? 0, this.revision);
        for (const key of body.drop) this.remove(key, this.revision);
        answer(200, { revision: this.revision });
        return this.notify();
    }

    async handleDuty(req, body, answer) {
        if (req.method !== "POST" || req.url !== "/promote") return answer(404, {});
        const group = this.groups.find(candidate => candidate.name === body.service);
        this.onPromote({ holder: req.headers["x-duty-holder"], token: Number(req.headers["x-fence-token"]), service: body.service, id: body.id });
        return answer(group === undefined ? 404 : await group.promote(body.id), {});
    }

    close() {
        clearInterval(this.timer);
        clearInterval(this.beatTimer);
        for (const server of this.servers) {
            server.close();
            server.closeAllConnections();
        }
    }
}
