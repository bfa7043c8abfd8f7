/** Stand-in of the platform's store and of its promotion call, over HTTP, as far as the program uses them. */
import { createServer } from "node:http";

const host = "127.0.0.1";
const historyLimit = 10_000;

async function readBody(req) {
    let text = "";
    for await (const chunk of req) text += String(chunk);
    return text === "" ? {} : JSON.parse(text);
}

function encode(text) {
    return Buffer.from(text, "utf8").toString("base64");
}

export class Store {
    items = new Map();
    events = [];
    leases = new Map();
    revision = 1;
    lastLease = 0;
    watches = new Set();

    /** Listens on a free port. `onPromote` gets each promotion call and returns the HTTP status of its answer. */
    static async create(onPromote) {
        const store = new Store();
        store.onPromote = onPromote;
        store.server = createServer((req, res) => void store.handle(req, res));
        await new Promise(resolve => store.server.listen(0, host, resolve));
        store.address = `${host}:${store.server.address().port}`;
        store.leaseTimer = setInterval(() => store.endLeases(), 200);
        return store;
    }

    close() {
        clearInterval(this.leaseTimer);
        this.server.closeAllConnections();
        this.server.close();
    }

    put(key, text) {
        this.write(key, encode(text), 0);
        this.notify();
    }

    drop(key) {
        if (!this.items.delete(key)) return;
        this.record({ key, revision: ++this.revision, tombstone: true });
        this.notify();
    }

    write(key, value, lease) {
        const revision = ++this.revision;
        const created = this.items.get(key)?.created ?? revision;
        const item = { key, value, revision, created, lease };
        this.items.set(key, item);
        this.record(item);
    }

    record(event) {
        this.events.push(event);
        if (this.events.length > historyLimit) this.events.shift();
    }

    notify() {
        for (const check of [...this.watches]) check();
    }

    endLeases() {
        for (const [lease, { endsAt }] of this.leases) {
            if (Date.now() < endsAt) continue;
            this.leases.delete(lease);
            for (const item of [...this.items.values()]) {
                if (item.lease === lease) this.drop(item.key);
            }
        }
    }

    async handle(req, res) {
        const body = await readBody(req);
        const url = new URL(req.url, "http://store");
        const respond = (status, value) => {
            if (!res.writableEnded) res.writeHead(status, { "Content-Type": "application/json", "Store-Era": "1" }).end(JSON.stringify(value));
        };
        const path = url.pathname;
        if (path === "/promote") return respond(await this.onPromote(body, req.headers), {});
        if (path === "/-/kv-range") return this.readRange(url.searchParams, respond);
        if (path === "/-/kv-key") return this.readKey(url.searchParams, respond);
        if (path === "/-/kv-watch") return this.watch(url.searchParams, respond);
        if (path === "/-/kv-txn") return this.commit(body, respond);
        if (path === "/-/kv-lease") return this.grantLease(body, respond);
        if (path.startsWith("/-/kv-keep/")) return this.renewLease(Number(path.split("/").at(-1)), respond);
        respond(404, {});
    }

    readRange(query, respond) {
        const prefix = query.get("prefix") ?? "";
        const after = query.get("after") ?? "";
        const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after);
        items.sort((first, second) => (first.key < second.key ? -1 : 1));
        respond(200, { items, has_more: false, store_revision: this.revision });
    }

    readKey(query, respond) {
        const item = this.items.get(query.get("key"));
        respond(item === undefined ? 404 : 200, { ...item, store_revision: this.revision });
    }

    watch(query, respond) {
        const prefix = query.get("prefix") ?? "";
        const after = Number(query.get("after"));
        if (after > this.revision) return respond(410, {});
        const finish = () => {
            clearTimeout(timer);
            this.watches.delete(check);
            respond(200, { events: this.events.filter(event => event.revision > after && event.key.startsWith(prefix)), store_revision: this.revision });
        };
        const check = () => {
            if (this.events.some(event => event.revision > after && event.key.startsWith(prefix))) finish();
        };
        const timer = setTimeout(finish, Number(query.get("wait_ms")));
        this.watches.add(check);
        check();
    }

    commit({ expect = [], puts = [], drop = [] }, respond) {
        const isMet = expect.every(({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision);
        if (!isMet) return respond(412, { items: expect.flatMap(({ key }) => this.items.get(key) ?? []) });
        if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) return respond(404, {});
        for (const { key, value, lease = 0 } of puts) this.write(key, value, lease);
        for (const key of drop) this.drop(key);
        respond(200, { revision: this.revision });
        this.notify();
    }

    grantLease({ ttl_ms: ttlMs }, respond) {
        this.leases.set(++this.lastLease, { ttlMs, endsAt: Date.now() + ttlMs });
        respond(200, { lease: this.lastLease, ttl_ms: ttlMs });
    }

    renewLease(lease, respond) {
        const granted = this.leases.get(lease);
        if (granted === undefined) return respond(404, {});
        granted.endsAt = Date.now() + granted.ttlMs;
        respond(200, { ttl_ms: granted.ttlMs });
    }
}
