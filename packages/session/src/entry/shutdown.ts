import { Clock } from "@vanillarouter/base/clock";
import { Operation } from "@vanillarouter/base/operation";
import { Signal } from "@vanillarouter/base/signal";
import { sleep } from "@vanillarouter/base/sleep";

/** Time before an idle session ends, in which a busy process reads the statements that have already arrived in its sockets. */
const finalReadMs = 50;
/** Time for which a transaction stays open at least, so that one which begins late in a shutdown can end. */
const minTransactionMs = 1_500;

/** Tells caller sessions the stage of a graceful shutdown. */
export class Shutdown {
    private readonly idleClose = Signal.create<void>();
    private readonly transactionClose = Signal.create<void>();
    private isClosingIdle = false;
    private isClosingBetweenOperations = false;
    private isClosingTransactions = false;

    private constructor(private readonly clock: Clock) {}

    public static create(clock: Clock): Shutdown {
        return new Shutdown(clock);
    }

    /** From now on, sessions end right after the response that completes an operation. */
    public closeSessionsBetweenOperations(): void {
        this.isClosingBetweenOperations = true;
    }

    /** Revokes `closeSessionsBetweenOperations` and `closeIdleSessions`. Callers whose sessions have already ended reconnect. */
    public cancel(): void {
        this.isClosingBetweenOperations = false;
        this.isClosingIdle = false;
    }

    public get closesSessionsBetweenOperations(): boolean {
        return this.isClosingBetweenOperations;
    }

    /** From now on, idle sessions end. */
    public closeIdleSessions(): void {
        this.isClosingIdle = true;
        this.idleClose.notifyAll();
    }

    /** From now on, sessions also end after a statement that completes no operation, or with an open transaction that has had its minimum time. */
    public closeTransactions(): void {
        this.isClosingTransactions = true;
        this.transactionClose.notifyAll();
    }

    /** Waits until an idle session must end. */
    public *waitForIdleClose(): Operation<undefined> {
        if (!this.isClosingIdle) yield* this.idleClose.wait();
        yield* sleep(this.clock, finalReadMs);
        return undefined;
    }

    /** Waits until a session must end whose last statement completed no operation. */
    public *waitForUnfinishedClose(): Operation<undefined> {
        if (!this.isClosingTransactions) yield* this.transactionClose.wait();
        return undefined;
    }

    /** Waits until a session must end that has an open transaction. `begunAt` is the local time in milliseconds at which the transaction began. */
    public *waitForTransactionClose(begunAt: number): Operation<undefined> {
        yield* this.waitForUnfinishedClose();
        yield* sleep(this.clock, Math.max(0, begunAt + minTransactionMs - this.clock.now()));
        return undefined;
    }
}
