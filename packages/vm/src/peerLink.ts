import { createTRPCClient, TRPCClient } from "@trpc/client";
import { inferRouterInputs, inferRouterOutputs } from "@trpc/server";
import { Clock } from "@vanillarouter/base/clock";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { perform } from "@vanillarouter/base/perform";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { VmDescription } from "@vanillarouter/base/vmDescription";
import { Err, Ok, Result } from "ts-results";
import { WebSocket } from "ws";
import { createTrpcLink } from "./createTrpcLink";
import { Diagnostics } from "./diagnostics";
import { LinkRouter } from "./linkRouter";
import { LinkTimeoutError } from "./linkTimeoutError";
import { MessageSocket } from "./messageSocket";
import { PendingCalls } from "./pendingCalls";

interface PeerLinkOptions {
    readonly vm: VmDescription;
    readonly clock: Clock;
    readonly socketClass: typeof WebSocket;
    /** Called once when the link has closed. */
    readonly onClosed: () => void;
}

type OwnerInputs = inferRouterInputs<LinkRouter>["owner"];
type OwnerOutputs = inferRouterOutputs<LinkRouter>["owner"];
type Call<T> = (client: TRPCClient<LinkRouter>, options: { readonly context: { readonly timeoutMs: number; }; }) => Promise<T>;

const openTimeoutMs = 1_500;
const silenceBeforePingMs = 500;
const pongTimeoutMs = 1_000;

/**
 * One link to another VM. It connects on creation and is not reused after it breaks; the pool then opens another. While a
 * call is pending and nothing is received, the link is pinged, and it is closed if still nothing is received.
 */
export class PeerLink {
    private readonly socket: WebSocket;
    private readonly messageSocket: MessageSocket;
    private readonly pendingCalls: PendingCalls;
    private readonly client: TRPCClient<LinkRouter>;
    /** Called once when the link has opened, or has closed before it opened. */
    private readonly openListeners = new Set<() => void>();
    private state: "opening" | "open" | "closed" = "opening";
    private closeReason = "closed";
    private pendingCallCount = 0;
    private lastUsedAt: number;
    /** Time since which at least one call has been pending without interruption. */
    private pendingSince = 0;
    private pingedAt: number | undefined;
    private stopSilenceTimer: (() => void) | undefined;

    private constructor(private readonly options: PeerLinkOptions) {
        const { vm, clock } = options;
        this.lastUsedAt = clock.now();
        this.socket = new options.socketClass(`wss://${vm.host.includes(":") ? `[${vm.host}]` : vm.host}:${vm.linkPort}`);
        this.socket.on("open", () => this.handleOpen());
        this.socket.on("error", err => this.close(err.message));
        this.socket.on("close", () => this.close("connection closed"));
        this.messageSocket = MessageSocket.create(this.socket, clock, message => this.pendingCalls.accept(message));
        this.pendingCalls = PendingCalls.create(clock, message => this.messageSocket.send(message));
        this.client = createTRPCClient<LinkRouter>({ links: [createTrpcLink(this.pendingCalls)] });
        const stopTimer = clock.startTimer(openTimeoutMs, () => this.state === "opening" && this.close("connection timed out"));
        this.openListeners.add(stopTimer);
    }

    public static create(options: PeerLinkOptions): PeerLink {
        return new PeerLink(options);
    }

    public get isClosed(): boolean {
        return this.state === "closed";
    }

    /** Time since the last use in milliseconds; 0 while calls are pending. */
    public get idleMs(): number {
        return this.pendingCallCount > 0 ? 0 : this.options.clock.now() - this.lastUsedAt;
    }

    /**
     * Makes one call. Failures before the call is sent have the outcome DidNotRun, later ones `lostOutcome`. A response
     * that arrives after `timeoutMs` milliseconds is dropped.
     */
    public *call<T>(timeoutMs: number, lostOutcome: RunOutcome, call: Call<T>): Operation<Result<T, Failure>> {
        const remainingMs = yield* this.waitForOpenLink(timeoutMs);
        if (remainingMs.err) return remainingMs;
        this.beginCall();
        try {
            return yield* this.sendCall(remainingMs.val, lostOutcome, call);
        }
        finally {
            this.endCall();
        }
    }

    /**
     * Makes one call to the owner role, like `call`, but bypasses the `trpc` client object, whose promises and abort signals
     * account for a quarter of the cost of a statement. The procedures and messages are the same.
     */
    public *callOwner<Path extends keyof OwnerInputs>(
        path: Path,
        input: OwnerInputs[Path],
        timeoutMs: number,
        lostOutcome: RunOutcome,
    ): Operation<Result<OwnerOutputs[Path], Failure>> {
        const remainingMs = yield* this.waitForOpenLink(timeoutMs);
        if (remainingMs.err) return remainingMs;
        this.beginCall();
        try {
            return yield* this.sendOwnerCall<OwnerOutputs[Path]>(path, input, remainingMs.val, lostOutcome);
        }
        finally {
            this.endCall();
        }
    }

    /**
     * Closes the link unless the peer responds to a ping in time. Membership can wrongly declare a VM dead, and a VM that is
     * shutting down still finishes transactions of this VM.
     */
    public closeUnlessResponsive(reason: string): void {
        if (this.state !== "open") {
            this.close(reason);
            return;
        }
        const pingSentAt = this.options.clock.now();
        this.messageSocket.ping();
        this.options.clock.startTimer(pongTimeoutMs, () => this.messageSocket.lastInboundAt < pingSentAt && this.close(reason));
    }

    /** Closes the link; pending calls fail. */
    public close(reason: string): void {
        if (this.state === "closed") return;
        this.state = "closed";
        this.closeReason = reason;
        this.stopSilenceTimer?.();
        this.notifyOpenListeners();
        this.socket.terminate();
        this.pendingCalls.failAll(reason);
        this.options.onClosed();
    }

    /** Waits until the link is open; returns the time remaining for the call in milliseconds. Fails if the link closes or the time elapses. */
    private *waitForOpenLink(timeoutMs: number): Operation<Result<number, Failure>> {
        const { clock, vm } = this.options;
        if (this.state === "open") return Ok(timeoutMs);
        const deadline = clock.now() + timeoutMs;
        if (this.state === "opening") yield* this.waitForStateChange(timeoutMs);
        if (this.isClosed) return Err(createFailure(Diagnostics.linkNotOpened, RunOutcome.DidNotRun, vm.id, this.closeReason));
        const remainingMs = deadline - clock.now();
        return remainingMs > 0 ? Ok(remainingMs) : Err(createFailure(Diagnostics.linkTimedOut, RunOutcome.DidNotRun, vm.id, timeoutMs));
    }

    private endCall(): void {
        this.pendingCallCount--;
        this.lastUsedAt = this.options.clock.now();
    }

    private beginCall(): void {
        if (this.pendingCallCount++ === 0) this.pendingSince = this.options.clock.now();
        this.stopSilenceTimer ??= this.options.clock.startTimer(silenceBeforePingMs, () => this.checkSilence());
    }

    private sendCall<T>(timeoutMs: number, lostOutcome: RunOutcome, call: Call<T>): Operation<Result<T, Failure>> {
        return perform<Result<T, Failure>>({
            start: resume => {
                let cancelled = false;
                const settle = (result: Result<T, Failure>): void => {
                    if (!cancelled) resume(result);
                };
                call(this.client, { context: { timeoutMs } }).then(
                    value => settle(Ok(value)),
                    (err: unknown) => settle(Err(this.toFailure(err, timeoutMs, lostOutcome))),
                );
                return () => cancelled = true;
            },
        });
    }

    private sendOwnerCall<T>(path: string, input: unknown, timeoutMs: number, lostOutcome: RunOutcome): Operation<Result<T, Failure>> {
        return perform<Result<T, Failure>>({
            start: resume => {
                let cancelled = false;
                this.pendingCalls.send("mutation", `owner.${path}`, input, timeoutMs, {
                    accept: result => cancelled || resume(Ok(result.data as T)),
                    reject: err => cancelled || resume(Err(this.toFailure(err, timeoutMs, lostOutcome))),
                });
                return () => cancelled = true;
            },
        });
    }

    private toFailure(err: unknown, timeoutMs: number, lostOutcome: RunOutcome): Failure {
        const { cause } = err as { readonly cause?: unknown; };
        if (cause instanceof LinkTimeoutError) return createFailure(Diagnostics.linkTimedOut, lostOutcome, this.options.vm.id, timeoutMs);
        const text = err instanceof Error ? err.message : String(err);
        const code = (err as { readonly data?: { readonly code?: string; }; }).data?.code;
        if (code === "BAD_REQUEST") return createFailure(Diagnostics.requestMalformed, RunOutcome.DidNotRun, this.options.vm.id, text);
        return createFailure(Diagnostics.linkBroken, lostOutcome, this.options.vm.id, text);
    }

    /** Waits until the link has opened or closed, or until `timeoutMs` milliseconds have passed. */
    private waitForStateChange(timeoutMs: number): Operation<void> {
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

    private handleOpen(): void {
        if (this.state !== "opening") return;
        this.state = "open";
        this.notifyOpenListeners();
    }

    private notifyOpenListeners(): void {
        const listeners = [...this.openListeners];
        this.openListeners.clear();
        for (const listener of listeners) listener();
    }

    private checkSilence(): void {
        this.stopSilenceTimer = undefined;
        if (this.pendingCallCount === 0 || this.state !== "open") return;
        const now = this.options.clock.now();
        const silentSince = Math.max(this.messageSocket.lastInboundAt, this.pendingSince);
        if (this.pingedAt !== undefined && silentSince > this.pingedAt) this.pingedAt = undefined;
        if (this.pingedAt !== undefined && now - this.pingedAt >= pongTimeoutMs) {
            this.close("no response to a ping");
            return;
        }
        if (this.pingedAt === undefined && now - silentSince >= silenceBeforePingMs) {
            this.pingedAt = now;
            this.messageSocket.ping();
        }
        this.stopSilenceTimer = this.options.clock.startTimer(silenceBeforePingMs, () => this.checkSilence());
    }
}
