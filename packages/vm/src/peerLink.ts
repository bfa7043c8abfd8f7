import { createTRPCClient, createWSClient, TRPCClient, TRPCWebSocketClient, wsLink } from "@trpc/client";
import { Clock } from "@vanillarouter/base/clock";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { perform } from "@vanillarouter/base/perform";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { VmDescription } from "@vanillarouter/base/vmDescription";
import { Err, Ok, Result } from "ts-results";
import { WebSocket } from "ws";
import { Diagnostics } from "./diagnostics";
import { LinkRouter } from "./linkRouter";

interface PeerLinkOptions {
    readonly vm: VmDescription;
    readonly clock: Clock;
    readonly socketClass: typeof WebSocket;
    /** Called once when the link has ended. */
    readonly onClosed: () => void;
}

type Call<T> = (client: TRPCClient<LinkRouter>, signal: AbortSignal) => Promise<T>;

const openTimeoutMs = 1_500;
const silenceBeforePingMs = 500;
const pongWaitMs = 1_000;
const neverMs = 2_147_483_647;

/**
 * One link to another VM. Opens at once and ends for good when it breaks; the pool then opens another. While a call
 * waits and nothing arrives, the link is pinged; without an answer it is taken for silent and ended.
 */
export class PeerLink {
    private readonly client: TRPCWebSocketClient;
    private readonly procedures: TRPCClient<LinkRouter>;
    private readonly openListeners = new Set<() => void>();
    private state: "opening" | "open" | "closed" = "opening";
    private closeReason = "closed";
    private socket: WebSocket | undefined;
    private waiting = 0;
    private lastInboundAt: number;
    private lastUseAt: number;
    private pingedAt: number | undefined;
    private stopWatch: (() => void) | undefined;

    private constructor(private readonly options: PeerLinkOptions) {
        const { vm, clock } = options;
        this.lastInboundAt = clock.now();
        this.lastUseAt = clock.now();
        this.client = createWSClient({
            url: `wss://${vm.host.includes(":") ? `[${vm.host}]` : vm.host}:${vm.linkPort}`,
            WebSocket: options.socketClass as never,
            retryDelayMs: () => neverMs,
            onOpen: () => this.acceptOpen(),
            onError: () => this.end("connection refused or not trusted"),
            onClose: () => this.end("connection closed"),
        });
        this.procedures = createTRPCClient<LinkRouter>({ links: [wsLink({ client: this.client })] });
        const stopTimer = clock.startTimer(openTimeoutMs, () => this.state === "opening" && this.end("connection timed out"));
        this.openListeners.add(stopTimer);
    }

    public static create(options: PeerLinkOptions): PeerLink {
        return new PeerLink(options);
    }

    public get isClosed(): boolean {
        return this.state === "closed";
    }

    /** Time since the last use in milliseconds; 0 while calls wait. */
    public get idleMs(): number {
        return this.waiting > 0 ? 0 : this.options.clock.now() - this.lastUseAt;
    }

    /**
     * Makes one call. Failures before it was sent have the outcome DidNotRun, later ones `lostOutcome`. A reply after
     * `timeoutMs` milliseconds is dropped.
     */
    public *call<T>(timeoutMs: number, lostOutcome: RunOutcome, call: Call<T>): Operation<Result<T, Failure>> {
        const { clock, vm } = this.options;
        const deadline = clock.now() + timeoutMs;
        if (this.state === "opening") yield* this.waitOpen(timeoutMs);
        if (this.state !== "open") return Err(createFailure(Diagnostics.linkNotOpened, RunOutcome.DidNotRun, vm.id, this.closeReason));
        const leftMs = deadline - clock.now();
        if (leftMs <= 0) return Err(createFailure(Diagnostics.linkTimedOut, RunOutcome.DidNotRun, vm.id, timeoutMs));
        this.beginCall();
        try {
            return yield* this.send(leftMs, lostOutcome, call);
        }
        finally {
            this.waiting--;
            this.lastUseAt = clock.now();
        }
    }

    /** Ends the link; waiting calls fail. */
    public end(reason: string): void {
        if (this.state === "closed") return;
        this.state = "closed";
        this.closeReason = reason;
        this.stopWatch?.();
        this.notifyOpen();
        this.socket?.terminate();
        this.client.close().catch(() => {});
        this.options.onClosed();
    }

    private beginCall(): void {
        const now = this.options.clock.now();
        if (this.waiting++ === 0) {
            this.lastInboundAt = now;
            this.pingedAt = undefined;
        }
        this.stopWatch ??= this.options.clock.startTimer(silenceBeforePingMs, () => this.checkSilence());
    }

    private send<T>(timeoutMs: number, lostOutcome: RunOutcome, call: Call<T>): Operation<Result<T, Failure>> {
        const { clock, vm } = this.options;
        return perform<Result<T, Failure>>({
            start: resume => {
                let settled = false;
                const controller = new AbortController();
                const settle = (result: Result<T, Failure>): void => {
                    if (settled) return;
                    settled = true;
                    stopTimer();
                    resume(result);
                };
                const stopTimer = clock.startTimer(timeoutMs, () => {
                    settle(Err(createFailure(Diagnostics.linkTimedOut, lostOutcome, vm.id, timeoutMs)));
                    controller.abort();
                });
                call(this.procedures, controller.signal).then(value => settle(Ok(value)), (err: unknown) => settle(Err(this.describe(err, lostOutcome))));
                return () => {
                    settled = true;
                    stopTimer();
                    controller.abort();
                };
            },
        });
    }

    private describe(err: unknown, lostOutcome: RunOutcome): Failure {
        const text = err instanceof Error ? err.message : String(err);
        const code = (err as { readonly data?: { readonly code?: string; }; }).data?.code;
        if (code === "BAD_REQUEST") return createFailure(Diagnostics.requestMalformed, RunOutcome.DidNotRun, this.options.vm.id, text);
        return createFailure(Diagnostics.linkBroken, lostOutcome, this.options.vm.id, text);
    }

    private waitOpen(timeoutMs: number): Operation<void> {
        return perform<void>({
            start: resume => {
                const finish = (): void => {
                    stopTimer();
                    this.openListeners.delete(finish);
                    resume();
                };
                const stopTimer = this.options.clock.startTimer(timeoutMs, finish);
                this.openListeners.add(finish);
                return () => {
                    stopTimer();
                    this.openListeners.delete(finish);
                };
            },
        });
    }

    private acceptOpen(): void {
        if (this.state !== "opening") return;
        this.state = "open";
        this.socket = this.client.connection?.ws as unknown as WebSocket;
        this.socket.on("message", () => this.acceptTraffic());
        this.socket.on("pong", () => this.acceptTraffic());
        this.notifyOpen();
    }

    private notifyOpen(): void {
        const listeners = [...this.openListeners];
        this.openListeners.clear();
        for (const listener of listeners) listener();
    }

    private acceptTraffic(): void {
        this.lastInboundAt = this.options.clock.now();
        this.pingedAt = undefined;
    }

    private checkSilence(): void {
        this.stopWatch = undefined;
        if (this.waiting === 0 || this.state !== "open") return;
        const now = this.options.clock.now();
        if (this.pingedAt !== undefined && now - this.pingedAt >= pongWaitMs) {
            this.end("the link is silent");
            return;
        }
        if (this.pingedAt === undefined && now - this.lastInboundAt >= silenceBeforePingMs) {
            this.pingedAt = now;
            this.socket?.ping();
        }
        this.stopWatch = this.options.clock.startTimer(silenceBeforePingMs, () => this.checkSilence());
    }
}
