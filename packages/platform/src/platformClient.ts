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
import { readListedVm } from "./readListedVm";
import { StoreCallCounter } from "./storeCallCounter";
import { StoreEntry } from "./storeEntry";
import { StoreWrite } from "./storeWrite";
import { VmList } from "./vmList";
import { WatchAnswer } from "./watchAnswer";

interface PlatformClientOptions {
    readonly host: string;
    readonly port: number;
    /** Name of the service that the platform lists the VMs under. */
    readonly service?: string;
}

interface ConsulItem {
    readonly Key: string;
    readonly Value?: string | null;
    readonly ModifyIndex: number;
}

/** What a call ended with: the response, or an error of the transport or of a status other than 2xx. */
interface CallAnswer {
    readonly value?: unknown;
    readonly status?: number;
    readonly body?: unknown;
    readonly index: number;
    readonly error?: string;
}

const defaultService = "vanillarouter";
const maxOpenCalls = 64;
/** Consul answers a watch up to 1/16 of the wait time late. */
const watchGraceMs = 5_000;

/** Client of the Consul HTTP API as the platform offers it. Calls are bounded in number and in time, and counted. */
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
        const answer = yield* this.call("read", timeoutMs, ctx => this.consul.kv.get({ key, consistent: true, ctx, timeout: timeoutMs } as never));
        if (answer.error !== undefined && answer.status !== 404) return Err(this.describe(`read of ${key}`, answer, RunOutcome.DidNotRun));
        return Ok(readEntry(answer.value));
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
        const answer = yield* this.call("list", timeoutMs, ctx => this.consul.kv.keys({ key: prefix, separator, ctx, timeout: timeoutMs } as never));
        if (answer.status === 404) return Ok([]);
        if (answer.error !== undefined) return Err(this.describe(`list of ${prefix}`, answer, RunOutcome.DidNotRun));
        return Array.isArray(answer.value) ? Ok(answer.value.map(String)) : Err(createFailure(Diagnostics.storeAnswerInvalid, RunOutcome.DidNotRun, "list"));
    }

    public *watch(key: string, index: number, waitMs: number): Operation<Result<WatchAnswer, Failure>> {
        const timeout = waitMs + watchGraceMs;
        const answer = yield* this.call(
            "watch",
            timeout,
            ctx => this.consul.kv.get({ key, index: String(index), wait: `${Math.ceil(waitMs)}ms`, ctx, timeout } as never),
        );
        if (answer.error !== undefined && answer.status !== 404) return Err(this.describe(`watch of ${key}`, answer, RunOutcome.DidNotRun));
        return Ok({ entry: readEntry(answer.value), index: answer.index });
    }

    public *commit(writes: readonly StoreWrite[], timeoutMs: number): Operation<Result<CommitOutcome, Failure>> {
        const operations = writes.map(write => ({ KV: formatWrite(write) }));
        const answer = yield* this.call("commit", timeoutMs, ctx => this.consul.transaction.create(operations as never, { ctx, timeout: timeoutMs } as never));
        if (answer.status === 409) return Ok({ committed: false, versions: new Map() });
        if (answer.error !== undefined) return Err(this.describe("transaction", answer, wasNotRun(answer) ? RunOutcome.DidNotRun : RunOutcome.Unknown));
        const results = (answer.value as { readonly Results?: readonly { readonly KV?: ConsulItem; }[]; } | undefined)?.Results ?? [];
        return Ok({ committed: true, versions: new Map(results.flatMap(item => item.KV === undefined ? [] : [[item.KV.Key, item.KV.ModifyIndex]])) });
    }

    public *createSession(ttlMs: number, timeoutMs: number): Operation<Result<string, Failure>> {
        const answer = yield* this.call(
            "session",
            timeoutMs,
            ctx => this.consul.session.create({ ttl: `${ttlMs}ms`, behavior: "delete", ctx, timeout: timeoutMs } as never),
        );
        const id = (answer.value as { readonly ID?: unknown; } | undefined)?.ID;
        return typeof id === "string" ? Ok(id) : Err(createFailure(Diagnostics.sessionNotCreated, RunOutcome.Unknown, answer.error ?? "no id"));
    }

    public *renewSession(session: string, timeoutMs: number): Operation<Result<void, Failure>> {
        const answer = yield* this.call("session", timeoutMs, ctx => this.consul.session.renew({ id: session, ctx, timeout: timeoutMs } as never));
        if (answer.status === 404) return Err(createFailure(Diagnostics.leaseLost, RunOutcome.DidNotRun, session));
        return answer.error === undefined ? Ok.EMPTY : Err(this.describe("session renewal", answer, RunOutcome.Unknown));
    }

    public *acquire(key: string, session: string, value: string, timeoutMs: number): Operation<Result<boolean, Failure>> {
        const answer = yield* this.call("write", timeoutMs, ctx => this.consul.kv.set({ key, value, acquire: session, ctx, timeout: timeoutMs } as never));
        return answer.error === undefined ? Ok(answer.value === true) : Err(this.describe(`lease of ${key}`, answer, RunOutcome.Unknown));
    }

    public *endSession(session: string, timeoutMs: number): Operation<Result<void, Failure>> {
        const answer = yield* this.call("session", timeoutMs, ctx => this.consul.session.destroy({ id: session, ctx, timeout: timeoutMs } as never));
        return answer.error === undefined ? Ok.EMPTY : Err(this.describe("end of session", answer, RunOutcome.Unknown));
    }

    /** Reads the platform's list of VMs. Entries in an unknown form are left out. */
    public *readVms(timeoutMs: number, zone?: string): Operation<Result<readonly ListedVm[], Failure>> {
        const request = { service: this.options.service ?? defaultService, stale: true, timeout: timeoutMs };
        const filter = zone === undefined ? {} : { filter: `Service.Meta.zone == ${JSON.stringify(zone)}` };
        const answer = yield* this.call("vms", timeoutMs, ctx => this.consul.health.service({ ...request, ...filter, ctx } as never));
        if (answer.error !== undefined) return Err(this.describe("VM list", answer, RunOutcome.DidNotRun));
        if (!Array.isArray(answer.value)) return Err(createFailure(Diagnostics.storeAnswerInvalid, RunOutcome.DidNotRun, "VM list"));
        return Ok(answer.value.map(readListedVm).filter(vm => vm !== undefined));
    }

    /** Ends open calls and closes connections. */
    public close(): void {
        this.agent.destroy();
    }

    private *call(kind: string, timeoutMs: number, start: (ctx: EventEmitter) => Promise<unknown>): Operation<CallAnswer> {
        if (this.counter.openCalls >= maxOpenCalls) return { status: 429, index: 0, error: formatDiagnostic(Diagnostics.callLimitReached, [maxOpenCalls]) };
        const ctx = Object.assign(new EventEmitter(), { includeResponse: true });
        this.counter.begin(kind);
        try {
            return yield* fromPromise(start(ctx).then(readSuccess, readError), () => ctx.emit("cancel"));
        }
        finally {
            this.counter.end();
        }
    }

    private describe(call: string, answer: CallAnswer, outcome: RunOutcome): Failure {
        const diagnostic = answer.status === 429 ? Diagnostics.storeRefused : Diagnostics.storeUnreachable;
        return createFailure(diagnostic, outcome, call, answer.error ?? "no answer");
    }
}

/** A refused connection and a client error mean that the store did not start the transaction; a server error does not. */
function wasNotRun(answer: CallAnswer): boolean {
    if (answer.status !== undefined) return answer.status >= 400 && answer.status < 500;
    return (answer.error ?? "").includes("ECONNREFUSED");
}

function readSuccess(value: unknown): CallAnswer {
    const [response, body] = value as [IncomingMessage, unknown];
    return { value: body, status: response.statusCode, index: readIndex(response) };
}

function readError(err: unknown): CallAnswer {
    const response = (err as { readonly response?: IncomingMessage; }).response;
    return { status: response?.statusCode, index: response === undefined ? 0 : readIndex(response), error: err instanceof Error ? err.message : String(err) };
}

function readIndex(response: IncomingMessage): number {
    const index = Number(response.headers["x-consul-index"] ?? 0);
    return Number.isSafeInteger(index) && index > 0 ? index : 0;
}

function readEntry(value: unknown): StoreEntry | undefined {
    if (value === undefined || value === null || typeof value !== "object") return undefined;
    const item = value as ConsulItem;
    return { key: item.Key, value: item.Value ?? "", version: item.ModifyIndex };
}

function formatWrite(write: StoreWrite): Readonly<Record<string, unknown>> {
    if (write.kind === "check") {
        return write.version === 0 ? { Verb: "check-not-exists", Key: write.key } : { Verb: "check-index", Key: write.key, Index: write.version };
    }
    const index = write.kind === "create" ? 0 : write.version;
    return { Verb: "cas", Key: write.key, Index: index, Value: Buffer.from(write.value ?? "").toString("base64") };
}
