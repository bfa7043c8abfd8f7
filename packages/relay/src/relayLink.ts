import { Clock } from "@vanillarouter/base/clock";
import { LineSocket } from "@vanillarouter/base/lineSocket";
import { Operation } from "@vanillarouter/base/operation";
import { perform } from "@vanillarouter/base/perform";
import { race } from "@vanillarouter/base/race";
import { Signal } from "@vanillarouter/base/signal";
import { Task } from "@vanillarouter/base/task";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { Abandonment } from "@vanillarouter/session/entry/abandonment";
import { decodeMessage } from "./decodeMessage";
import { encodeMessage } from "./encodeMessage";
import { LargeMessageTurns } from "./largeMessageTurns";
import { RelayLimits } from "./relayLimits";
import { RelayRequest } from "./relayRequest";
import { RelayResponse } from "./relayResponse";
import { relayResponseSchema } from "./relayResponseSchema";

/** A gateway that has sent nothing for this time while calls are active is pinged. */
const pingAfterSilenceMs = 150;
/** A gateway responds to a ping within milliseconds; one that is silent for this long while calls are active is cut off, frozen or very slow. */
const callSilenceMs = 600;
/** The same while only long polls are open. It is longer because long polls delay no caller. */
const longPollSilenceMs = 2_000;

type CallResponse = Extract<RelayResponse, { readonly call: number; }>;

/**
 * The entry VM's end of the connection to one gateway, shared by the calls of many sessions.
 *
 * A silent gateway gets no new work, but may still be running what it has: a link is closed only after so long that the
 * gateway has given up its transactions too. Until then writes wait for their responses, each up to its own timeout.
 */
export class RelayLink {
    private readonly responseHandlers = new Map<number, (response: CallResponse | undefined) => void>();
    /** Number of calls that delay a caller, which excludes long polls. */
    private activeCallCount = 0;
    private lastCallNumber = 0;
    private lastTransactionNumber = 0;
    /** Number of transactions that the gateway holds open for this VM. */
    private openTransactionCount = 0;
    /** Time of the latest message from the gateway, or of the moment since which this VM has been waiting for one. */
    private silentSince: number;
    private lastSentAt: number;
    private isSilent = false;
    /** Whether the gateway understands `cancel`; undefined before it was asked. */
    private acceptsCancel: boolean | undefined;
    private readonly largeMessageTurns: LargeMessageTurns;
    private readonly fellSilent = Signal.create<undefined>();

    private constructor(private readonly socket: LineSocket, private readonly clock: Clock) {
        this.largeMessageTurns = LargeMessageTurns.create(socket);
        this.silentSince = clock.now();
        this.lastSentAt = clock.now();
        socket.onClosed(() => this.resumeAllWithoutResponse());
    }

    public static create(socket: LineSocket, clock: Clock): RelayLink {
        return new RelayLink(socket, clock);
    }

    public get isOpen(): boolean {
        return this.socket.isOpen;
    }

    /** Whether the link is open and the gateway has not been silent for too long to get new work. */
    public get isResponsive(): boolean {
        return this.isOpen && !this.isSilent;
    }

    /** Number of calls that wait for their responses, without long polls. */
    public get activeCalls(): number {
        return this.activeCallCount;
    }

    /** Begins a transaction and returns its number on this link. */
    public beginTransaction(): number {
        this.openTransactionCount++;
        return ++this.lastTransactionNumber;
    }

    public endTransaction(): void {
        this.openTransactionCount--;
    }

    /** Passes responses to the calls that wait for them, until the link closes. */
    public *dispatchResponses(): Operation<void> {
        for (;;) {
            const line = yield* this.socket.receive();
            if (line === undefined) return;
            const response = decodeMessage(relayResponseSchema, line);
            if (response === undefined) return this.close();
            this.silentSince = this.clock.now();
            this.isSilent = false;
            if (response.kind === "pong") this.acceptsCancel = response.acceptsCancel === true;
            else this.responseHandlers.get(response.call)?.(response);
        }
    }

    /**
     * Notices a silent gateway, and closes the link after a long silence. Pings the gateway if it may be silent, or if this VM
     * has a call or a transaction open and has sent nothing for a while, since gateways close silent links. `RelayGateways` calls
     * this periodically.
     */
    public checkLiveness(): void {
        const now = this.clock.now();
        if (this.responseHandlers.size === 0 && !this.isSilent) this.silentSince = now;
        const silentMs = now - this.silentSince;
        if (silentMs > RelayLimits.transactionSilenceMs) return this.close();
        if (!this.isSilent && silentMs > (this.activeCallCount > 0 ? callSilenceMs : longPollSilenceMs)) {
            this.isSilent = true;
            this.fellSilent.notifyAll(undefined);
        }
        const needsLivenessPing = this.isSilent || (this.activeCallCount > 0 && silentMs > pingAfterSilenceMs);
        const needsKeepAlive = this.responseHandlers.size + this.openTransactionCount > 0 && now - this.lastSentAt > RelayLimits.pingIntervalMs;
        if (needsLivenessPing || needsKeepAlive) this.send({ kind: "ping" });
    }

    /**
     * Sends a request and waits for its response. Returns undefined if none arrives in time; the request may have been executed then.
     * If the caller leaves meanwhile, the gateway is told, and its response says whether the request ran.
     */
    public *call(timeoutMs: number, createRequest: (call: number) => RelayRequest, abandonment?: Abandonment): Operation<CallResponse | undefined> {
        if (this.activeCallCount++ === 0 && !this.isSilent) this.silentSince = this.clock.now();
        try {
            return yield* this.exchange(timeoutMs, createRequest, abandonment);
        }
        finally {
            this.activeCallCount--;
        }
    }

    /** Like `call`, but also returns undefined as soon as the gateway falls silent; for requests that another gateway can repeat. */
    public *callRepeatable(
        timeoutMs: number,
        createRequest: (call: number) => RelayRequest,
        abandonment?: Abandonment,
    ): Operation<CallResponse | undefined> {
        return yield* race<CallResponse | undefined>([this.call(timeoutMs, createRequest, abandonment), this.fellSilent.wait()]);
    }

    /**
     * Sends a long poll, whose response comes late if nothing changes, so it does not count as an active call. Returns undefined
     * if no response arrives in time, or as soon as the gateway falls silent.
     */
    public *poll(timeoutMs: number, createRequest: (call: number) => RelayRequest): Operation<CallResponse | undefined> {
        return yield* race<CallResponse | undefined>([this.exchange(timeoutMs, createRequest), this.fellSilent.wait()]);
    }

    private *exchange(timeoutMs: number, createRequest: (call: number) => RelayRequest, abandonment?: Abandonment): Operation<CallResponse | undefined> {
        if (!this.isOpen) return undefined;
        const call = ++this.lastCallNumber;
        const cancelTask = abandonment === undefined ? undefined : Task.start(this.cancelWhenAbandoned(call, abandonment));
        try {
            return yield* withTimeout(this.clock, timeoutMs, this.sendAndWait(call, createRequest(call)));
        }
        finally {
            cancelTask?.cancel();
            this.responseHandlers.delete(call);
        }
    }

    private *cancelWhenAbandoned(call: number, abandonment: Abandonment): Operation<void> {
        if (this.acceptsCancel === undefined) {
            this.acceptsCancel = false;
            this.send({ kind: "ping" });
        }
        yield* abandonment.wait();
        if (this.acceptsCancel) this.send({ kind: "cancel", call });
    }

    public send(message: RelayRequest): void {
        this.sendText(encodeMessage(message));
    }

    private sendText(text: string): void {
        this.lastSentAt = this.clock.now();
        this.socket.send(text);
    }

    public close(): void {
        this.socket.close();
    }

    private *sendAndWait(call: number, message: RelayRequest): Operation<CallResponse | undefined> {
        const text = encodeMessage(message);
        yield* this.largeMessageTurns.wait(text.length);
        if (!this.isOpen) return undefined;
        return yield* perform<CallResponse | undefined>({
            start: resume => {
                this.responseHandlers.set(call, resume);
                this.sendText(text);
                return () => this.responseHandlers.delete(call);
            },
        });
    }

    private resumeAllWithoutResponse(): void {
        for (const resume of [...this.responseHandlers.values()]) resume(undefined);
        this.responseHandlers.clear();
    }
}
