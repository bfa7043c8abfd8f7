import { Socket } from "node:net";
import { BlockPool } from "./blockPool";
import { BlockText } from "./blockText";
import { BudgetedConnection } from "./budgetedConnection";
import { Channel } from "./channel";
import { CloseReason } from "./closeReason";
import { ConnectionBudget } from "./connectionBudget";
import { GarbageCollection } from "./garbageCollection";
import { LineSplitter } from "./lineSplitter";
import { Operation } from "./operation";
import { Signal } from "./signal";

const defaultMaxLineBytes = 1_048_576;
/** Lines and bytes that are read ahead. */
const maxQueuedLines = 64;
const maxReadAheadBytes = 65_536;
/** Copies of a large line that its decoding and execution make. */
const copiesPerLine = 2;

/**
 * A TCP connection that carries lines terminated by CR LF. Text is decoded and encoded as Latin-1, which preserves every byte.
 *
 * A connection with a budget counts what it holds towards it, and reads ahead only as fast as its responses are read.
 */
export class LineSocket implements BudgetedConnection {
    /** Lines that came in pieces stay in their blocks until they are received. */
    private readonly lines = Channel.create<string | BlockText | undefined>();
    private readonly closeListeners: (() => void)[] = [];
    private readonly drained = Signal.create<void>();
    private readonly splitter = LineSplitter.create(line => {
        this.queuedBytes += line.length;
        this.lines.send(line);
    });
    /** A large line that waits for its execution. */
    private waitingLine: BlockText | undefined;
    private closed = false;
    private queuedBytes = 0;
    private unsentBytes = 0;
    private sessionBytes = 0;
    private reportedBytes = 0;
    /** Bytes of the line in execution that the budget counts. */
    private servedBytes = 0;
    private hasReceivedLine = false;
    private isExecuting = false;
    /** Whether a budget lets this connection read ahead only a little, because a line is executed or its response has not left. */
    private isHeldBack = false;
    private isBacklogged = false;
    private isPaused = false;
    private isMeasuring = false;

    private constructor(private readonly socket: Socket, private readonly maxLineBytes: number, private readonly budget: ConnectionBudget | undefined) {
        socket.setNoDelay(true);
        socket.setKeepAlive(true, 1000);
        socket.on("data", data => this.receiveData(data));
        socket.on("end", () => this.abandon());
        socket.on("error", () => this.abandon());
        socket.on("close", () => this.abandon());
        socket.on("drain", () => this.handleDrain());
        if (budget === undefined) return;
        socket.on("close", () => budget.remove(this));
        budget.add(this);
    }

    /** Wraps a socket. The connection is closed if more than `maxLineBytes` bytes arrive without a line terminator. */
    public static create(socket: Socket, maxLineBytes = defaultMaxLineBytes, budget?: ConnectionBudget): LineSocket {
        return new LineSocket(socket, maxLineBytes, budget);
    }

    public get isOpen(): boolean {
        return !this.closed;
    }

    public get remoteAddress(): string {
        return `${this.socket.remoteAddress}:${this.socket.remotePort}`;
    }

    public get isLoggedIn(): boolean {
        return this.hasReceivedLine;
    }

    public get isEnded(): boolean {
        return this.closed;
    }

    public get isServing(): boolean {
        return this.isExecuting;
    }

    public get isReceiving(): boolean {
        return this.splitter.partialLength > 0 && !this.isPaused;
    }

    public get heldBytes(): number {
        return this.splitter.heldBytes + this.queuedBytes + this.unsentBytes + this.sessionBytes;
    }

    public get sentWhileWaiting(): number | undefined {
        return this.isBacklogged || this.closed ? this.socket.bytesWritten - this.socket.writableLength : undefined;
    }

    /** Waits for the next line and returns it without its terminator; undefined if the connection has closed. */
    public *receive(): Operation<string | undefined> {
        this.finishServing();
        if (this.budget !== undefined) yield* this.waitUntilSent();
        this.isHeldBack = false;
        this.resumeReading();
        if (this.closed && this.lines.size === 0) return undefined;
        const queued = yield* this.lines.receive();
        if (queued === undefined) return undefined;
        const line = typeof queued === "string" ? queued : yield* this.decode(queued);
        if (line === undefined) return undefined;
        this.queuedBytes -= line.length;
        this.hasReceivedLine = true;
        this.isExecuting = true;
        this.isHeldBack = this.budget !== undefined;
        if (line.length + this.sessionBytes >= BlockPool.blockBytes) this.reportHeld();
        this.resumeReading();
        return line;
    }

    public send(text: string): void {
        if (text.length >= BlockPool.blockBytes) GarbageCollection.record(text.length);
        if (this.closed || this.socket.write(text, "latin1")) return;
        this.isBacklogged = true;
        if (this.isMeasuring || this.budget === undefined) return;
        this.isMeasuring = true;
        // Only then is it known how much the operating system did not take.
        setImmediate(() => this.measureUnsent());
    }

    /** Waits until everything that was sent has left the process, or the connection has closed. */
    public *waitUntilSent(): Operation<void> {
        while (this.isBacklogged && !this.closed) yield* this.drained.wait();
    }

    /** Tells the budget how many bytes the owner holds for the caller between its statements. */
    public setSessionBytes(bytes: number): void {
        this.sessionBytes = bytes;
        this.reportHeld();
    }

    /** Closes the connection after the buffered data has been sent. */
    public end(): void {
        this.finishServing();
        if (this.closed) return;
        this.socket.end();
        this.markClosed();
    }

    public close(): void {
        this.finishServing();
        this.abandon();
    }

    public closeForLimit(): void {
        for (const line of this.lines.takeAll()) {
            if (line instanceof BlockText) line.clear();
        }
        this.waitingLine?.clear();
        this.queuedBytes = 0;
        this.socket.destroy();
        if (!this.closed) this.markClosed();
    }

    public onClosed(listener: () => void): void {
        if (this.closed) listener();
        else this.closeListeners.push(listener);
    }

    private abandon(): void {
        if (this.closed) return;
        this.socket.destroy();
        this.markClosed();
    }

    private markClosed(): void {
        this.closed = true;
        this.splitter.stop();
        this.lines.send(undefined);
        this.reportHeld();
        this.drained.notifyAll();
        for (const listener of this.closeListeners) listener();
    }

    /** Waits until the budget admits a large line. Returns undefined if the connection has closed by then. */
    private *decode(queued: BlockText): Operation<string | undefined> {
        GarbageCollection.record(queued.length * copiesPerLine);
        if (this.budget === undefined) return queued.take();
        this.waitingLine = queued;
        this.servedBytes = yield* this.budget.startServing(queued.length + this.sessionBytes);
        this.waitingLine = undefined;
        if (!this.closed) return queued.take();
        queued.clear();
        this.finishServing();
        return undefined;
    }

    private finishServing(): void {
        this.isExecuting = false;
        if (this.servedBytes === 0) return;
        this.budget?.finishServing(this.servedBytes);
        this.servedBytes = 0;
    }

    private receiveData(data: Buffer): void {
        if (data.length >= BlockPool.blockBytes) GarbageCollection.record(data.length);
        if (this.closed) return;
        this.splitter.push(data);
        if (this.splitter.partialLength > this.maxLineBytes) return this.closeOverlong();
        if (this.heldBytes >= BlockPool.blockBytes) this.reportHeld();
        if (this.closed || !this.mustPause) return;
        this.isPaused = true;
        this.socket.pause();
    }

    private closeOverlong(): void {
        if (this.budget === undefined) this.abandon();
        else this.budget.close(this, CloseReason.MessageLength);
    }

    private get mustPause(): boolean {
        const partialBytes = this.isHeldBack ? this.splitter.partialLength : 0;
        return this.lines.size > maxQueuedLines || this.queuedBytes + partialBytes > maxReadAheadBytes;
    }

    private resumeReading(): void {
        if (!this.isPaused || this.mustPause) return;
        this.isPaused = false;
        this.socket.resume();
    }

    private reportHeld(): void {
        if (this.budget === undefined || Math.abs(this.heldBytes - this.reportedBytes) < BlockPool.blockBytes) return;
        this.reportedBytes = this.heldBytes;
        this.budget.update(this);
    }

    private measureUnsent(): void {
        this.isMeasuring = false;
        this.unsentBytes = this.socket.writableLength;
        this.reportHeld();
    }

    private handleDrain(): void {
        this.isBacklogged = false;
        this.unsentBytes = 0;
        this.reportHeld();
        this.drained.notifyAll();
    }
}
