import { ConnectionChoiceKind } from "./connectionChoiceKind";
import { ConnectionWaiter } from "./connectionWaiter";

/** A waiter that needs a new connection lets others of its rank use the existing ones for this time, because opening costs slot time. */
const maxBypassMs = 50;

/** Waiters for connections: ordered by rank, and by the time since which they wait within a rank. */
export class WaitQueue {
    private readonly waiters: ConnectionWaiter[] = [];

    private constructor() {}

    public static create(): WaitQueue {
        return new WaitQueue();
    }

    public get size(): number {
        return this.waiters.length;
    }

    /** Adds a waiter. The returned function removes it. */
    public add(waiter: ConnectionWaiter): () => void {
        let index = this.waiters.length;
        while (index > 0 && this.precedes(waiter, this.waiters[index - 1]!)) index--;
        this.waiters.splice(index, 0, waiter);
        return () => this.remove(waiter);
    }

    /** Wakes the first waiter that can proceed at the local time `now` in milliseconds, if there is one. */
    public wakeFirst(now: number): void {
        const first = this.waiters.find(waiter => waiter.choose() !== ConnectionChoiceKind.Wait);
        if (first === undefined) return;
        const chosen = this.findReuser(first, now) ?? first;
        this.remove(chosen);
        chosen.wake();
    }

    /** Returns a waiter of the same rank that can use an idle connection, while `first` needs a new one and has not waited for long. */
    private findReuser(first: ConnectionWaiter, now: number): ConnectionWaiter | undefined {
        if (now - first.since >= maxBypassMs) return undefined;
        return this.waiters.find(waiter => waiter.rank === first.rank && waiter.choose() === ConnectionChoiceKind.Reuse);
    }

    private remove(waiter: ConnectionWaiter): void {
        const index = this.waiters.indexOf(waiter);
        if (index >= 0) this.waiters.splice(index, 1);
    }

    private precedes(first: ConnectionWaiter, second: ConnectionWaiter): boolean {
        return first.rank < second.rank || (first.rank === second.rank && first.since < second.since);
    }
}
