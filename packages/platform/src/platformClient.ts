import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { formatDiagnostic } from "@vanillarouter/base/formatDiagnostic";
import { fromPromise } from "@vanillarouter/base/fromPromise";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import Consul from "consul";
import { EventEmitter } from "node:events";
import { Agent, IncomingMessage } from "node:http";
import { Err, Ok, Result } from "ts-results";
import { CommitOutcome } from "./commitOutcome";
import { Diagnostics } from "./diagnostics";
import { KeyValueStore } from "./keyValueStore";
import { LeaseStore } from "./leaseStore";
import { ListedVm } from "./listedVm";
import { parseListedVm } from "./parseListedVm";
import { StoreCallCounter } from "./storeCallCounter";
import { StoreEntry } from "./storeEntry";
import { StoreWrite } from "./storeWrite";
import { VmList } from "./vmList";
import { WatchResponse } from "./watchResponse";

interface PlatformClientOptions {
    readonly host: string;
    readonly port: number;
    /** Name of the service under which the platform lists the VMs. */
    readonly service?: string;
}

/** A key of the store in the form that Consul returns. */
interface ConsulEntry {
    readonly Key: string;
    readonly Value?: string | null;
    readonly ModifyIndex: number;
}

/** Result of a call: the response, or an error for a transport failure or a status other than 2xx. */
interface CallResponse {
    readonly value?: unknown;
    /** HTTP status; absent after a transport failure. */
    readonly status?: number;
    readonly body?: unknown;
    /** Consul's index, to pass to the next watch; 0 if the response has none. */
    readonly index: number;
    readonly error?: string;
}

const defaultService = "vanillarouter";
const maxOpenCalls = 64;
/** Extra time for the response to a watch, because Consul extends the wait by up to 1/16. */
const watchGraceMs = 5_000;

/** Client of the platform's Consul HTTP API. It counts calls, limits how many are open, and applies a timeout to each. */
export class PlatformClient implements KeyValueStore, LeaseStore, VmList {
    /** Calls made so far. */
    public readonly counter = StoreCallCounter.create();
    private readonly consul: Consul;
    private readonly agent = new Agent({ keepAlive: true, maxSockets: maxOpenCalls });

    private constructor(private readonly options: PlatformClientOptions) {
        this.consul = new Consul({ host: options.host, port: options.port, agent: this.agent });
    }

    public static create(options: PlatformClientOptions): PlatformClient {
        return new PlatformClient(options);
    }

    public *read(key: string, timeoutMs: number): Operation<Result<StoreEntry | undefined, Failure>> {
        const response = yield* this.call("read", timeoutMs, ctx => this.consul.kv.get({ key, consistent: true, ctx, timeout: timeoutMs } as never));
        if (response.error !== undefined && response.status !== 404) return Err(this.createCallFailure(`read of ${key}`, response, RunOutcome.DidNotRun));
        return Ok(parseStoreEntry(response.value));
    }

    public *readAll(keys: readonly string[], timeoutMs: number): Operation<Result<readonly StoreEntry[], Failure>> {
        const entries: StoreEntry[] = [];
        for (const key of keys) {
            const entry = yield* this.read(key, timeoutMs);
            if (entry.err) return entry;
            if (entry.val !== undefined) entries.push(entry.val);
        }
        return Ok(entries);
    }

    public *listKeys(prefix: string, separator: string | undefined, timeoutMs: number): Operation<Result<readonly string[], Failure>> {
        const response = yield* this.call("list", timeoutMs, ctx => this.consul.kv.keys({ key: prefix, separator, ctx, timeout: timeoutMs } as never));
        if (response.status === 404) return Ok([]);
        if (response.error !== undefined) return Err(this.createCallFailure(`list of ${prefix}`, response, RunOutcome.DidNotRun));
        return Array.isArray(response.value)
            ? Ok(response.value.map(String))
            : Err(createFailure(Diagnostics.storeResponseInvalid, RunOutcome.DidNotRun, "list"));
    }

    public *watch(key: string, index: number, waitMs: number): Operation<Result<WatchResponse, Failure>> {
        const timeout = waitMs + watchGraceMs;
        const response = yield* this.call(
            "watch",
            timeout,
            ctx => this.consul.kv.get({ key, index: String(index), wait: `${Math.ceil(waitMs)}ms`, ctx, timeout } as never),
        );
        if (response.error !== undefined && response.status !== 404) return Err(this.createCallFailure(`watch of ${key}`, response, RunOutcome.DidNotRun));
        return Ok({ entry: parseStoreEntry(response.value), index: response.index });
    }

    public *commit(writes: readonly StoreWrite[], timeoutMs: number): Operation<Result<CommitOutcome, Failure>> {
        const operations = writes.map(write => ({ KV: createTransactionOperation(write) }));
        const response = yield* this.call(
            "commit",
            timeoutMs,
            ctx => this.consul.transaction.create(operations as never, { ctx, timeout: timeoutMs } as never),
        );
        if (response.status === 409) return Ok({ committed: false, versions: new Map() });
        if (response.error !== undefined) {
            return Err(this.createCallFailure("transaction", response, didNotRun(response) ? RunOutcome.DidNotRun : RunOutcome.Unknown));
        }
        const results = (response.value as { readonly Results?: readonly { readonly KV?: ConsulEntry; }[]; } | undefined)?.Results ?? [];
        return Ok({ committed: true, versions: new Map(results.flatMap(result => result.KV === undefined ? [] : [[result.KV.Key, result.KV.ModifyIndex]])) });
    }

    public *createSession(ttlMs: number, timeoutMs: number): Operation<Result<string, Failure>> {
        const response = yield* this.call(
            "session",
            timeoutMs,
            ctx => this.consul.session.create({ ttl: `${ttlMs}ms`, behavior: "delete", ctx, timeout: timeoutMs } as never),
        );
        const id = (response.value as { readonly ID?: unknown; } | undefined)?.ID;
        return typeof id === "string" ? Ok(id) : Err(createFailure(Diagnostics.sessionNotCreated, RunOutcome.Unknown, response.error ?? "no id"));
    }

    public *renewSession(session: string, timeoutMs: number): Operation<Result<void, Failure>> {
        const response = yield* this.call("session", timeoutMs, ctx => this.consul.session.renew({ id: session, ctx, timeout: timeoutMs } as never));
        if (response.status === 404) return Err(createFailure(Diagnostics.leaseLost, RunOutcome.DidNotRun, session));
        return response.error === undefined ? Ok.EMPTY : Err(this.createCallFailure("session renewal", response, RunOutcome.Unknown));
    }

    public *acquire(key: string, session: string, value: string, timeoutMs: number): Operation<Result<boolean, Failure>> {
        const response = yield* this.call("write", timeoutMs, ctx => this.consul.kv.set({ key, value, acquire: session, ctx, timeout: timeoutMs } as never));
        return response.error === undefined ? Ok(response.value === true) : Err(this.createCallFailure(`lease of ${key}`, response, RunOutcome.Unknown));
    }

    public *endSession(session: string, timeoutMs: number): Operation<Result<void, Failure>> {
        const response = yield* this.call("session", timeoutMs, ctx => this.consul.session.destroy({ id: session, ctx, timeout: timeoutMs } as never));
        return response.error === undefined ? Ok.EMPTY : Err(this.createCallFailure("end of session", response, RunOutcome.Unknown));
    }

    /** Reads the platform's list of VMs. Malformed list elements and VMs with a critical health check are omitted. */
    public *readVms(timeoutMs: number, zone?: string): Operation<Result<readonly ListedVm[], Failure>> {
        const request = { service: this.options.service ?? defaultService, stale: true, timeout: timeoutMs };
        const filter = zone === undefined ? {} : { filter: `Service.Meta.zone == ${JSON.stringify(zone)}` };
        const response = yield* this.call("vms", timeoutMs, ctx => this.consul.health.service({ ...request, ...filter, ctx } as never));
        if (response.error !== undefined) return Err(this.createCallFailure("VM list", response, RunOutcome.DidNotRun));
        if (!Array.isArray(response.value)) return Err(createFailure(Diagnostics.storeResponseInvalid, RunOutcome.DidNotRun, "VM list"));
        return Ok(response.value.map(parseListedVm).filter(vm => vm !== undefined));
    }

    /** Aborts open calls and closes all connections. */
    public close(): void {
        this.agent.destroy();
    }

    private *call(kind: string, timeoutMs: number, start: (ctx: EventEmitter) => Promise<unknown>): Operation<CallResponse> {
        if (this.counter.openCalls >= maxOpenCalls) return { status: 429, index: 0, error: formatDiagnostic(Diagnostics.callLimitReached, [maxOpenCalls]) };
        const ctx = Object.assign(new EventEmitter(), { includeResponse: true });
        this.counter.begin(kind);
        try {
            return yield* fromPromise(start(ctx).then(createSuccessResponse, createErrorResponse), () => ctx.emit("cancel"));
        }
        finally {
            this.counter.end();
        }
    }

    private createCallFailure(call: string, response: CallResponse, outcome: RunOutcome): Failure {
        const diagnostic = response.status === 429 ? Diagnostics.storeRefused : Diagnostics.storeUnreachable;
        return createFailure(diagnostic, outcome, call, response.error ?? "no response");
    }
}

/** Whether the store cannot have started the transaction: true for a refused connection or a 4xx status, false for a server error. */
function didNotRun(response: CallResponse): boolean {
    if (response.status !== undefined) return response.status >= 400 && response.status < 500;
    return (response.error ?? "").includes("ECONNREFUSED");
}

function createSuccessResponse(value: unknown): CallResponse {
    const [httpResponse, body] = value as [IncomingMessage, unknown];
    return { value: body, status: httpResponse.statusCode, index: parseIndex(httpResponse) };
}

function createErrorResponse(err: unknown): CallResponse {
    const httpResponse = (err as { readonly response?: IncomingMessage; }).response;
    return {
        status: httpResponse?.statusCode,
        index: httpResponse === undefined ? 0 : parseIndex(httpResponse),
        error: err instanceof Error ? err.message : String(err),
    };
}

function parseIndex(httpResponse: IncomingMessage): number {
    const index = Number(httpResponse.headers["x-consul-index"] ?? 0);
    return Number.isSafeInteger(index) && index > 0 ? index : 0;
}

function parseStoreEntry(value: unknown): StoreEntry | undefined {
    if (value === undefined || value === null || typeof value !== "object") return undefined;
    const entry = value as ConsulEntry;
    return { key: entry.Key, value: entry.Value ?? "", version: entry.ModifyIndex };
}

function createTransactionOperation(write: StoreWrite): Readonly<Record<string, unknown>> {
    if (write.kind === "check") {
        return write.version === 0 ? { Verb: "check-not-exists", Key: write.key } : { Verb: "check-index", Key: write.key, Index: write.version };
    }
    const index = write.kind === "create" ? 0 : write.version;
    return { Verb: "cas", Key: write.key, Index: index, Value: Buffer.from(write.value ?? "").toString("base64") };
}
