import { Clock } from "@vanillarouter/base/clock";
import { StoredValue } from "./storedValue";
import { StoreOperation } from "./storeOperation";

interface LeaseSession {
    readonly id: string;
    readonly ttlMs: number;
    readonly deleteKeys: boolean;
    stopTimer: () => void;
}

/** Verdict on a transaction: the values that it wrote or read, or the operations that refused it. */
type TransactionOutcome =
    | { readonly committed: true; readonly values: readonly StoredValue[]; }
    | { readonly committed: false; readonly errors: readonly { readonly index: number; readonly text: string; }[]; };

/** A linearizable key-value store in memory, with the compare-and-swap, session and wait rules of Consul. */
export class PlatformStore {
    private values = new Map<string, StoredValue>();
    private staleValues: ReadonlyMap<string, StoredValue> | undefined;
    private readonly sessions = new Map<string, LeaseSession>();
    private readonly waiters = new Set<() => void>();
    private lastIndex = 1;
    private sessionCount = 0;

    private constructor(private readonly clock: Clock, private readonly maxValueBytes: number) {}

    /** Makes an empty store that refuses values above `maxValueBytes`. */
    public static create(clock: Clock, maxValueBytes = 1_048_576): PlatformStore {
        return new PlatformStore(clock, maxValueBytes);
    }

    public get index(): number {
        return this.lastIndex;
    }

    public get waiting(): number {
        return this.waiters.size;
    }

    /** Freezes what reads see, or ends the freeze. */
    public setStale(stale: boolean): void {
        if (!stale) this.staleValues = undefined;
        else this.staleValues ??= new Map(this.values);
    }

    public find(key: string): StoredValue | undefined {
        return (this.staleValues ?? this.values).get(key);
    }

    public list(prefix: string): readonly StoredValue[] {
        const found = [...(this.staleValues ?? this.values).values()].filter(entry => entry.key.startsWith(prefix));
        return found.sort((first, second) => first.key < second.key ? -1 : 1);
    }

    /** Applies all operations, or none of them. */
    public commit(operations: readonly StoreOperation[]): TransactionOutcome {
        const before = new Map(this.values);
        const index = this.lastIndex + 1;
        const results: StoredValue[] = [];
        const errors: { index: number; text: string; }[] = [];
        operations.forEach((operation, position) => {
            const text = this.apply(operation, index, results);
            if (text !== undefined) errors.push({ index: position, text });
        });
        if (errors.length > 0) {
            this.values = before;
            return { committed: false, errors };
        }
        if (operations.some(operation => !["get", "get-tree", "check-index", "check-session", "check-not-exists"].includes(operation.verb))) {
            this.lastIndex = index;
            this.wakeWaiters();
        }
        return { committed: true, values: results };
    }

    /** Calls the listener once at the next write or after `waitMs`; the returned function cancels the wait. */
    public waitForWrite(waitMs: number, listener: () => void): () => void {
        const finish = (): void => {
            stopTimer();
            this.waiters.delete(finish);
            listener();
        };
        const stopTimer = this.clock.startTimer(waitMs, finish);
        this.waiters.add(finish);
        return () => {
            stopTimer();
            this.waiters.delete(finish);
        };
    }

    public createSession(ttlMs: number, deleteKeys: boolean): string {
        const id = `session-${++this.sessionCount}`;
        const session: LeaseSession = { id, ttlMs, deleteKeys, stopTimer: () => {} };
        this.sessions.set(id, session);
        this.restartSession(session);
        return id;
    }

    /** Returns whether the session still existed. */
    public renewSession(id: string): boolean {
        const session = this.sessions.get(id);
        if (session === undefined) return false;
        session.stopTimer();
        this.restartSession(session);
        return true;
    }

    public destroySession(id: string): void {
        const session = this.sessions.get(id);
        if (session === undefined) return;
        session.stopTimer();
        this.sessions.delete(id);
        const held = [...this.values.values()].filter(entry => entry.session === id);
        if (held.length === 0) return;
        this.lastIndex++;
        for (const entry of held) {
            if (session.deleteKeys) this.values.delete(entry.key);
            else this.values.set(entry.key, { ...entry, session: undefined, modifyIndex: this.lastIndex });
        }
        this.wakeWaiters();
    }

    public close(): void {
        for (const session of this.sessions.values()) session.stopTimer();
        this.sessions.clear();
        this.waiters.clear();
    }

    private restartSession(session: LeaseSession): void {
        if (session.ttlMs > 0) session.stopTimer = this.clock.startTimer(session.ttlMs, () => this.destroySession(session.id));
    }

    private wakeWaiters(): void {
        for (const waiter of [...this.waiters]) waiter();
    }

    /** Returns why the operation is refused; undefined if it was applied. */
    private apply(operation: StoreOperation, index: number, results: StoredValue[]): string | undefined {
        const known = this.values.get(operation.key);
        const refusal = this.findRefusal(operation, known);
        if (refusal !== undefined) return refusal;
        switch (operation.verb) {
            case "get":
            case "check-index":
            case "check-session":
                results.push(known!);
                return undefined;
            case "get-tree":
                results.push(...this.list(operation.key));
                return undefined;
            case "delete":
            case "delete-cas":
                this.values.delete(operation.key);
                return undefined;
            case "check-not-exists":
                return undefined;
            default:
                results.push(this.write(operation, known, index));
                return undefined;
        }
    }

    private findRefusal(operation: StoreOperation, known: StoredValue | undefined): string | undefined {
        if ((operation.value?.length ?? 0) > this.maxValueBytes) return "value too large";
        if (["set", "delete", "get-tree"].includes(operation.verb)) return undefined;
        if (operation.verb === "lock") return this.findLockRefusal(operation, known);
        return isSatisfied(operation, known) ? undefined : `${operation.verb} of ${operation.key} failed`;
    }

    private findLockRefusal(operation: StoreOperation, known: StoredValue | undefined): string | undefined {
        if (!this.sessions.has(operation.session ?? "")) return "invalid session";
        return known?.session === undefined || known.session === operation.session ? undefined : "lock is already held";
    }

    private write(operation: StoreOperation, known: StoredValue | undefined, index: number): StoredValue {
        const locks = operation.verb === "lock" && known?.session === undefined ? 1 : 0;
        const entry: StoredValue = {
            key: operation.key,
            value: operation.value ?? Buffer.alloc(0),
            flags: 0,
            createIndex: known?.createIndex ?? index,
            modifyIndex: index,
            lockIndex: (known?.lockIndex ?? 0) + locks,
            session: operation.verb === "lock" ? operation.session : operation.verb === "unlock" ? undefined : known?.session,
        };
        this.values.set(entry.key, entry);
        return entry;
    }
}

/** Tells whether the condition of a conditional operation holds. An unknown verb never does. */
function isSatisfied(operation: StoreOperation, known: StoredValue | undefined): boolean {
    switch (operation.verb) {
        case "cas":
        case "delete-cas":
            return (known?.modifyIndex ?? 0) === (operation.index ?? 0);
        case "get":
            return known !== undefined;
        case "check-index":
            return known?.modifyIndex === operation.index;
        case "check-not-exists":
            return known === undefined;
        case "check-session":
        case "unlock":
            return known !== undefined && known.session === operation.session;
        default:
            return false;
    }
}
