import { BudgetedConnection } from "./budgetedConnection";
import { Clock } from "./clock";
import { CloseReason } from "./closeReason";
import { ConnectionLimits } from "./connectionLimits";
import { Operation } from "./operation";
import { Signal } from "./signal";
import { sleep } from "./sleep";

/** Time between two sweeps. */
const sweepIntervalMs = 1_000;
/** Messages of at most this many bytes are executed without being counted. */
const maxUncountedBytes = 16_384;

/** What the budget remembers of a connection. Ticks are calls of `sweep`. */
interface ConnectionUse {
    heldBytes: number;
    readonly openedTick: number;
    /** Tick since which a message has been arriving. */
    receivingSince: number | undefined;
    /** Tick since which nothing that waits to be sent has been read. */
    waitingSince: number | undefined;
    sentWhileWaiting: number;
}

/**
 * Limits what the callers of a process hold together. Answers crowds that send large messages, stop half-way, do not read their
 * responses or only connect: the connections that have held most for longest are closed, so that the others are served.
 *
 * One sweep of all connections replaces timers for each of them.
 */
export class ConnectionBudget {
    private readonly uses = new Map<BudgetedConnection, ConnectionUse>();
    private tick = 0;
    private totalHeldBytes = 0;
    private servedBytes = 0;
    private readonly servedLess = Signal.create<void>();

    private constructor(
        private readonly limits: ConnectionLimits,
        private readonly onClosed: (connection: BudgetedConnection, reason: CloseReason, heldBytes: number) => void,
    ) {}

    /** `onClosed` is called for each connection that is closed for exceeding a limit. */
    public static create(
        limits: ConnectionLimits,
        onClosed: (connection: BudgetedConnection, reason: CloseReason, heldBytes: number) => void,
    ): ConnectionBudget {
        return new ConnectionBudget(limits, onClosed);
    }

    public get connectionCount(): number {
        return this.uses.size;
    }

    public get heldBytes(): number {
        return this.totalHeldBytes;
    }

    /** Adds a connection. If there are too many, the oldest one is closed that has not logged in or has ended, which may be the new one. */
    public add(connection: BudgetedConnection): void {
        const use = { heldBytes: 0, openedTick: this.tick, receivingSince: undefined, waitingSince: undefined, sentWhileWaiting: 0 };
        this.uses.set(connection, use);
        if (this.uses.size <= this.limits.maxConnections) return;
        for (const other of this.uses.keys()) {
            if (!other.isLoggedIn || other.isEnded) return this.close(other, CloseReason.ConnectionCount);
        }
    }

    public remove(connection: BudgetedConnection): void {
        this.totalHeldBytes -= this.uses.get(connection)?.heldBytes ?? 0;
        this.uses.delete(connection);
    }

    /** Takes over what a connection holds now. Closes connections while all together hold too much, possibly this one. */
    public update(connection: BudgetedConnection): void {
        const use = this.uses.get(connection);
        if (use === undefined) return;
        const { heldBytes } = connection;
        this.totalHeldBytes += heldBytes - use.heldBytes;
        use.heldBytes = heldBytes;
        while (this.totalHeldBytes > this.limits.maxHeldBytes) {
            const largest = this.findLargest(false) ?? this.findLargest(true);
            if (largest === undefined) return;
            this.close(largest, CloseReason.Memory);
        }
    }

    /** Waits until a message of `bytes` bytes may be executed. Returns how many bytes are counted; `finishServing` must get them. */
    public *startServing(bytes: number): Operation<number> {
        if (bytes <= maxUncountedBytes) return 0;
        const counted = Math.min(bytes, this.limits.maxServedBytes);
        while (this.servedBytes + counted > this.limits.maxServedBytes) yield* this.servedLess.wait();
        this.servedBytes += counted;
        return counted;
    }

    public finishServing(countedBytes: number): void {
        if (countedBytes === 0) return;
        this.servedBytes -= countedBytes;
        this.servedLess.notifyAll();
    }

    /** Closes a connection that exceeds a limit of its own. */
    public close(connection: BudgetedConnection, reason: CloseReason): void {
        const heldBytes = this.uses.get(connection)?.heldBytes ?? 0;
        this.remove(connection);
        this.onClosed(connection, reason, heldBytes);
        connection.closeForLimit();
    }

    /** Sweeps once a second, and calls `onSwept` after each sweep. */
    public *run(clock: Clock, onSwept: () => void = () => undefined): Operation<never> {
        for (;;) {
            yield* sleep(clock, sweepIntervalMs);
            this.sweep();
            onSwept();
        }
    }

    /** Closes the connections that have exceeded a time limit. `run` calls it once a second. */
    public sweep(): void {
        this.tick++;
        for (const [connection, use] of [...this.uses]) {
            const reason = this.findExceededTime(connection, use);
            if (reason !== undefined) this.close(connection, reason);
        }
    }

    private findExceededTime(connection: BudgetedConnection, use: ConnectionUse): CloseReason | undefined {
        if (!connection.isLoggedIn && this.isOver(use.openedTick, this.limits.loginTimeoutMs)) return CloseReason.LoginTime;
        use.receivingSince = connection.isReceiving ? use.receivingSince ?? this.tick : undefined;
        if (this.isOver(use.receivingSince, this.limits.messageTimeoutMs)) return CloseReason.MessageTime;
        const sent = connection.sentWhileWaiting;
        if (sent === undefined) use.waitingSince = undefined;
        else if (use.waitingSince === undefined || sent !== use.sentWhileWaiting) use.waitingSince = this.tick;
        use.sentWhileWaiting = sent ?? 0;
        return this.isOver(use.waitingSince, this.limits.responseTimeoutMs) ? CloseReason.ResponseTime : undefined;
    }

    private isOver(sinceTick: number | undefined, timeoutMs: number): boolean {
        return sinceTick !== undefined && (this.tick - sinceTick) * sweepIntervalMs > timeoutMs;
    }

    /** Finds the connection that has held most for longest. One that is being served is closed only if no other holds anything. */
    private findLargest(includesServing: boolean): BudgetedConnection | undefined {
        let largest: BudgetedConnection | undefined;
        let largestWeight = 0;
        for (const [connection, { heldBytes, receivingSince, waitingSince }] of this.uses) {
            const heldTicks = this.tick - (receivingSince ?? waitingSince ?? this.tick) + 1;
            const weight = heldBytes * heldTicks;
            if (weight <= largestWeight || (connection.isServing && !includesServing)) continue;
            largest = connection;
            largestWeight = weight;
        }
        return largest;
    }
}
