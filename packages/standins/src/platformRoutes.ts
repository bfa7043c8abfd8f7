import { ServerResponse } from "node:http";
import { ListedVm } from "./listedVm";
import { PlatformStore } from "./platformStore";
import { StoredValue } from "./storedValue";
import { StoreOperation } from "./storeOperation";

const defaultWaitMs = 300_000;
const maxWaitMs = 600_000;
const maxTransactionOperations = 64;

/** Implements endpoints of the Consul HTTP API on top of a store and a VM list. */
export class PlatformRoutes {
    private constructor(private readonly store: PlatformStore, private readonly readVms: () => readonly ListedVm[]) {}

    public static create(store: PlatformStore, readVms: () => readonly ListedVm[]): PlatformRoutes {
        return new PlatformRoutes(store, readVms);
    }

    /** Handles one request. With `loseResponse`, the request takes effect, and the connection is then closed without a response. */
    public handleRequest(url: URL, method: string, body: Buffer, res: ServerResponse, loseResponse: boolean): void {
        const send = (status: number, value: unknown): void => {
            if (loseResponse) {
                res.socket?.destroy();
                return;
            }
            res.writeHead(status, { "content-type": "application/json", "x-consul-index": String(this.store.index), "x-consul-knownleader": "true" });
            res.end(typeof value === "string" ? value : JSON.stringify(value));
        };
        const path = url.pathname;
        if (path.startsWith("/v1/kv/")) this.handleKey(decodeURIComponent(path.slice("/v1/kv/".length)), url.searchParams, method, body, res, send);
        else if (path === "/v1/txn" && method === "PUT") this.handleTransaction(body, send);
        else if (path.startsWith("/v1/session/") && method === "PUT") this.handleSession(path.slice("/v1/session/".length), body, send);
        else if (path.startsWith("/v1/health/service/") && method === "GET") send(200, this.listServices(url.searchParams.get("filter")));
        else send(404, "unknown endpoint");
    }

    /** Returns the listed VMs as Consul service entries. The only supported filter expression is the one for the zone. */
    private listServices(filter: string | null): readonly unknown[] {
        const zone = /^Service\.Meta\.zone == "(.*)"$/.exec(filter ?? "")?.[1];
        return this.readVms().filter(vm => zone === undefined || vm.zone === zone).map(formatService);
    }

    private handleKey(
        key: string,
        query: URLSearchParams,
        method: string,
        body: Buffer,
        res: ServerResponse,
        send: (status: number, value: unknown) => void,
    ): void {
        if (method === "GET") this.handleRead(key, query, res, send);
        else if (method === "PUT") send(200, String(this.store.commit([parsePutOperation(key, query, body)]).committed));
        else if (method === "DELETE") {
            const index = query.get("cas");
            const operation = index === null ? { verb: "delete", key } : { verb: "delete-cas", key, index: Number(index) };
            send(200, String(this.store.commit([operation]).committed));
        }
        else send(405, "method not allowed");
    }

    private handleRead(key: string, query: URLSearchParams, res: ServerResponse, send: (status: number, value: unknown) => void): void {
        const respond = (): void => {
            if (query.has("keys")) {
                send(200, listKeys(this.store.list(key), key, query.get("separator")));
                return;
            }
            const found = query.has("recurse") ? this.store.list(key) : [this.store.find(key)].filter(stored => stored !== undefined);
            res.setHeader("x-consul-lastcontact", "0");
            send(found.length === 0 ? 404 : 200, found.length === 0 ? "" : found.map(formatValue));
        };
        const index = Number(query.get("index") ?? 0);
        const findCurrentIndex = (): number => query.has("recurse") || query.has("keys") ? this.store.index : (this.store.find(key)?.modifyIndex ?? 0);
        const waitMs = Math.min(maxWaitMs, parseDuration(query.get("wait")) ?? defaultWaitMs);
        if (index === 0 || findCurrentIndex() > index) {
            respond();
            return;
        }
        const { restoreCount } = this.store;
        this.waitForChange(waitMs, () => findCurrentIndex() > index || this.store.restoreCount !== restoreCount, respond, res);
    }

    private waitForChange(waitMs: number, hasChanged: () => boolean, respond: () => void, res: ServerResponse): void {
        const startedAt = Date.now();
        const waitAgain = (): void => {
            const remainingMs = waitMs - (Date.now() - startedAt);
            cancel = this.store.waitForWrite(Math.max(1, remainingMs), () => {
                if (hasChanged() || Date.now() - startedAt >= waitMs) respond();
                else waitAgain();
            });
        };
        let cancel = (): void => {};
        waitAgain();
        res.on("close", () => cancel());
    }

    private handleTransaction(body: Buffer, send: (status: number, value: unknown) => void): void {
        const operations = parseTransaction(body);
        if (operations === undefined || operations.length > maxTransactionOperations) {
            send(400, "malformed transaction");
            return;
        }
        const outcome = this.store.commit(operations);
        if (outcome.committed) send(200, { Results: outcome.values.map(value => ({ KV: formatValue(value) })), Errors: null });
        else send(409, { Results: null, Errors: outcome.errors.map(error => ({ OpIndex: error.index, What: error.text })) });
    }

    private handleSession(path: string, body: Buffer, send: (status: number, value: unknown) => void): void {
        if (path === "create") {
            const options = parseObject(body);
            const ttlMs = parseDuration(String(options["TTL"] ?? "")) ?? 0;
            send(200, { ID: this.store.createSession(ttlMs, options["Behavior"] === "delete") });
        }
        else if (path.startsWith("renew/")) {
            const id = path.slice("renew/".length);
            if (this.store.renewSession(id)) send(200, [{ ID: id }]);
            else send(404, "Session id not found");
        }
        else if (path.startsWith("destroy/")) {
            this.store.destroySession(path.slice("destroy/".length));
            send(200, "true");
        }
        else send(404, "unknown endpoint");
    }
}

function parsePutOperation(key: string, query: URLSearchParams, body: Buffer): StoreOperation {
    const session = query.get("acquire") ?? query.get("release") ?? undefined;
    if (query.has("acquire")) return { verb: "lock", key, value: body, session };
    if (query.has("release")) return { verb: "unlock", key, value: body, session };
    const index = query.get("cas");
    return index === null ? { verb: "set", key, value: body } : { verb: "cas", key, value: body, index: Number(index) };
}

function parseTransaction(body: Buffer): readonly StoreOperation[] | undefined {
    try {
        const items = JSON.parse(body.toString("utf8")) as readonly { readonly KV: Readonly<Record<string, unknown>>; }[];
        return items.map(item => ({
            verb: String(item.KV["Verb"]),
            key: String(item.KV["Key"]),
            value: item.KV["Value"] === undefined ? undefined : Buffer.from(String(item.KV["Value"]), "base64"),
            index: item.KV["Index"] as number | undefined,
            session: item.KV["Session"] as string | undefined,
        }));
    }
    catch {
        return undefined;
    }
}

function parseObject(body: Buffer): Readonly<Record<string, unknown>> {
    try {
        return JSON.parse(body.toString("utf8")) as Readonly<Record<string, unknown>>;
    }
    catch {
        return {};
    }
}

function listKeys(values: readonly StoredValue[], prefix: string, separator: string | null): readonly string[] {
    const keys = values.map(stored => stored.key);
    if (separator === null) return keys;
    const collapsedKeys = keys.map(key => {
        const end = key.indexOf(separator, prefix.length);
        return end < 0 ? key : key.slice(0, end + separator.length);
    });
    return [...new Set(collapsedKeys)];
}

function formatValue(stored: StoredValue): unknown {
    return {
        Key: stored.key,
        Value: stored.value.toString("base64"),
        Flags: stored.flags,
        CreateIndex: stored.createIndex,
        ModifyIndex: stored.modifyIndex,
        LockIndex: stored.lockIndex,
        Session: stored.session,
    };
}

function formatService(vm: ListedVm): unknown {
    const status = vm.state === "gone" ? "critical" : "passing";
    const checks = [{ CheckID: `service:${vm.id}`, Status: status }];
    if (vm.state === "leaving") checks.push({ CheckID: `_service_maintenance:${vm.id}`, Status: "critical" });
    return {
        Node: { Node: vm.id, Address: vm.host, Meta: { zone: vm.zone } },
        Service: {
            ID: vm.id,
            Service: "vanillarouter",
            Address: vm.host,
            Port: vm.linkPort,
            Meta: { zone: vm.zone, "heartbeat-port": String(vm.heartbeatPort) },
        },
        Checks: checks,
    };
}

function parseDuration(text: string | null): number | undefined {
    const match = /^([\d.]+)(ms|s|m)$/.exec(text ?? "");
    if (match === null) return undefined;
    const factor = match[2] === "ms" ? 1 : match[2] === "s" ? 1000 : 60_000;
    return Number(match[1]) * factor;
}
