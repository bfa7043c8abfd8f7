import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { AddressInfo, Socket } from "node:net";
import { StoreBackup } from "./storeBackup";
import { StoredItem } from "./storedItem";

const renewalPath = "/-/kv-keep/";
const leaseTtlMs = 10_000;

type StoreEvent = StoredItem | { readonly key: string; readonly revision: number; readonly tombstone: true; };

interface Transaction {
    readonly expect: readonly { readonly key: string; readonly revision: number; }[];
    readonly puts: readonly { readonly key: string; readonly value: string; readonly lease?: number; }[];
    readonly drop: readonly string[];
}

/** Stand-in for the platform's store and its promotion endpoint, served over HTTP, with faults that a test sets. */
export class LineStore {
    /** Requests that arrive while this is true never get a response, not even after it is reset. */
    public isSilent = false;
    /** Watches that ask for events from before this revision fail with status 410, as if the history had been compacted. */
    public oldestRevision = 0;
    /** The requested promotions, each with its fencing token. */
    public readonly promotions: { readonly service: string; readonly id: string; readonly fenceToken: number; }[] = [];
    public requestCount = 0;
    /** Number of the store's history, which all responses name. `restore` increases it. */
    public era = 1;
    private revision = 1;
    private lease = 1;
    private readonly leases = new Set<number>();
    private readonly items = new Map<string, StoredItem>();
    private events: StoreEvent[] = [];
    private delayCommit: ((transaction: Transaction) => void) | undefined;
    private readonly openSockets = new Set<Socket>();
    private readonly silencedSockets = new WeakSet<Socket>();
    private readonly pendingWatches = new Map<() => void, () => void>();

    private constructor(private readonly server: Server, private readonly onPromote: (id: string) => void) {}

    /** Listens on a free port of the loopback address. */
    public static async create(onPromote: (id: string) => void = () => undefined): Promise<LineStore> {
        const server = createServer();
        const store = new LineStore(server, onPromote);
        server.on("connection", socket => store.trackSocket(socket));
        server.on("request", (req: IncomingMessage, res: ServerResponse) => void store.handleRequest(req, res));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return store;
    }

    public get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    /** Simulates a network failure: requests on the connections that are open now get no response. New connections are not affected. */
    public silenceConnections(): void {
        for (const cancelWatch of [...this.pendingWatches.values()]) cancelWatch();
        for (const socket of this.openSockets) this.silencedSockets.add(socket);
    }

    /**
     * The next transaction gets no response. Resolves when it arrives, with a function that executes it if what it expects still
     * holds then.
     */
    public delayNextCommit(): Promise<() => void> {
        return new Promise(resolve => this.delayCommit = transaction => resolve(() => this.commit(transaction, () => undefined)));
    }

    /** Ends a lease and removes its items, as if its client had not renewed it in time. */
    public endLease(lease: number): void {
        this.leases.delete(lease);
        for (const item of [...this.items.values()]) {
            if (item.lease === lease) this.delete(item.key);
        }
    }

    /** Writes an item directly, as the operator or an upstream would. */
    public put(key: string, text: string): void {
        this.write(key, Buffer.from(text, "utf8").toString("base64"), 0);
        this.notifyWatches();
    }

    public delete(key: string): void {
        if (!this.items.delete(key)) return;
        this.events.push({ key, revision: ++this.revision, tombstone: true });
        this.notifyWatches();
    }

    public createBackup(): StoreBackup {
        return { revision: this.revision, lease: this.lease, items: [...this.items.values()], leases: [...this.leases] };
    }

    /**
     * Goes back to a backup: later writes and leases are lost, and their revisions and ids are given out again. All connections
     * are closed unless `keepsConnections` is set; waiting watches then continue in the new era.
     */
    public restore(backup: StoreBackup, keepsConnections = false): void {
        this.era++;
        this.revision = backup.revision;
        this.lease = backup.lease;
        this.items.clear();
        for (const item of backup.items) this.items.set(item.key, item);
        this.leases.clear();
        for (const lease of backup.leases) this.leases.add(lease);
        this.events = this.events.filter(event => event.revision <= backup.revision);
        if (keepsConnections) return;
        for (const cancelWatch of [...this.pendingWatches.values()]) cancelWatch();
        this.server.closeAllConnections();
    }

    /** Id of the last lease that was granted. */
    public get lastLease(): number {
        return this.lease;
    }

    /** Returns the text of an item; undefined if there is none. */
    public find(key: string): string | undefined {
        const item = this.items.get(key);
        return item === undefined ? undefined : Buffer.from(item.value, "base64").toString("utf8");
    }

    public list(): readonly StoredItem[] {
        return [...this.items.values()];
    }

    public close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private trackSocket(socket: Socket): void {
        this.openSockets.add(socket);
        socket.on("close", () => this.openSockets.delete(socket));
    }

    private write(key: string, value: string, lease: number): void {
        const created = this.items.get(key)?.created ?? this.revision + 1;
        const item = { key, value, revision: ++this.revision, created, lease };
        this.items.set(key, item);
        this.events.push(item);
    }

    private notifyWatches(): void {
        for (const listener of [...this.pendingWatches.keys()]) listener();
    }

    private async handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
        this.requestCount++;
        let text = "";
        for await (const chunk of req) text += String(chunk);
        if (this.isSilent || this.silencedSockets.has(req.socket)) return;
        const url = new URL(req.url ?? "/", "http://store");
        const respond = (status: number, body: unknown): void => {
            if (!res.writableEnded) res.writeHead(status, { "Content-Type": "application/json", "Store-Era": String(this.era) }).end(JSON.stringify(body));
        };
        const route = `${req.method} ${url.pathname}`;
        if (route === "GET /-/kv-watch") return this.watch(url.searchParams, respond);
        if (route === "GET /-/kv-range") return this.readRange(url.searchParams, respond);
        if (route === "GET /-/kv-key") return this.readKey(url.searchParams, respond);
        if (route === "POST /-/kv-txn") return this.receiveCommit(JSON.parse(text) as Transaction, respond);
        if (route === "POST /-/kv-lease") return this.grantLease(respond);
        if (url.pathname.startsWith(renewalPath)) return this.renewLease(Number(url.pathname.slice(renewalPath.length)), respond);
        if (route === "POST /promote") return this.promote(req, JSON.parse(text) as { service: string; id: string; }, respond);
        respond(200, {});
    }

    private grantLease(respond: (status: number, body: unknown) => void): void {
        this.leases.add(++this.lease);
        respond(200, { lease: this.lease, ttl_ms: leaseTtlMs });
    }

    private renewLease(lease: number, respond: (status: number, body: unknown) => void): void {
        respond(this.leases.has(lease) ? 200 : 404, { ttl_ms: leaseTtlMs });
    }

    private promote(req: IncomingMessage, body: { readonly service: string; readonly id: string; }, respond: (status: number, body: unknown) => void): void {
        this.promotions.push({ ...body, fenceToken: Number(req.headers["x-fence-token"]) });
        this.onPromote(body.id);
        respond(200, {});
    }

    private readRange(query: URLSearchParams, respond: (status: number, body: unknown) => void): void {
        const items = [...this.items.values()].filter(item => item.key.startsWith(query.get("prefix") ?? ""));
        respond(200, { items, has_more: false, store_revision: this.revision });
    }

    private readKey(query: URLSearchParams, respond: (status: number, body: unknown) => void): void {
        const item = this.items.get(query.get("key") ?? "");
        respond(item === undefined ? 404 : 200, { ...item, store_revision: this.revision });
    }

    private receiveCommit(transaction: Transaction, respond: (status: number, body: unknown) => void): void {
        if (this.delayCommit === undefined) return this.commit(transaction, respond);
        this.delayCommit(transaction);
        this.delayCommit = undefined;
    }

    private commit(transaction: Transaction, respond: (status: number, body: unknown) => void): void {
        const isExpectationMet = transaction.expect.every(expectation => (this.items.get(expectation.key)?.revision ?? 0) === expectation.revision);
        if (!isExpectationMet) return respond(412, { items: [] });
        if (transaction.puts.some(put => put.lease !== undefined && put.lease !== 0 && !this.leases.has(put.lease))) return respond(404, {});
        for (const put of transaction.puts) this.write(put.key, put.value, put.lease ?? 0);
        respond(200, { revision: this.revision });
        this.notifyWatches();
    }

    private watch(query: URLSearchParams, respond: (status: number, body: unknown) => void): void {
        const after = Number(query.get("after"));
        if (after < this.oldestRevision || after > this.revision) return respond(410, {});
        const prefix = query.get("prefix") ?? "";
        const respondIfChanged = (): boolean => {
            const events = this.events.filter(event => event.revision > after && event.key.startsWith(prefix));
            if (events.length === 0) return false;
            respond(200, { events, store_revision: this.revision });
            return true;
        };
        if (respondIfChanged()) return;
        const finish = (): void => {
            this.pendingWatches.delete(listener);
            clearTimeout(timer);
        };
        const listener = (): void => {
            if (respondIfChanged()) finish();
        };
        const timer = setTimeout(() => {
            finish();
            respond(200, { events: [], store_revision: this.revision });
        }, Number(query.get("wait_ms")));
        this.pendingWatches.set(listener, finish);
    }
}
