import { Operation } from "@vanillarouter/base/operation";
import { perform } from "@vanillarouter/base/perform";
import { ConnectionChoiceKind } from "./connectionChoiceKind";
import { ConnectionWaiter } from "./connectionWaiter";

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

    /** Waits until the waiter is woken. Returns true. */
    public *wait(waiter: Omit<ConnectionWaiter, "wake">): Operation<true> {
        yield* perform<void>({ start: wake => this.add({ ...waiter, wake }) });
        return true;
    }

    /** Adds a waiter. The returned function removes it. */
    public add(waiter: ConnectionWaiter): () => void {
        let index = this.waiters.length;
        while (index > 0 && this.precedes(waiter, this.waiters[index - 1]!)) index--;
        this.waiters.splice(index, 0, waiter);
        return () => this.remove(waiter);
    }

    /**
     * Wakes the first waiter that can proceed, if there is one. If it would open a connection, a later waiter of its rank that can use
     * an idle one is woken instead if `mayPassOver` is true. Returns whether that happened.
     */
    public wakeFirst(mayPassOver: boolean): boolean {
        const able = this.listFirstOfOwners().filter(waiter => waiter.choose() !== ConnectionChoiceKind.Wait);
        const first = able[0];
        if (first === undefined) return false;
        const isReuser = (waiter: ConnectionWaiter): boolean => waiter.rank === first.rank && waiter.choose() === ConnectionChoiceKind.Reuse;
        const chosen = (mayPassOver ? able.find(isReuser) : undefined) ?? first;
        this.remove(chosen);
        chosen.wake();
        return chosen !== first;
    }

    private listFirstOfOwners(): readonly ConnectionWaiter[] {
        const owners = new Set<unknown>();
        return this.waiters.filter(({ owner }) => owners.size < owners.add(owner).size);
    }

    private remove(waiter: ConnectionWaiter): void {
        const index = this.waiters.indexOf(waiter);
        if (index >= 0) this.waiters.splice(index, 1);
    }

    private precedes(first: ConnectionWaiter, second: ConnectionWaiter): boolean {
        return first.rank < second.rank || (first.rank === second.rank && first.since < second.since);
    }
}
