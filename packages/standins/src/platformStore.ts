import { Clock } from "@vanillarouter/base/clock";
import { StoredValue } from "./storedValue";
import { StoreOperation } from "./storeOperation";

interface LeaseSession {
    readonly id: string;
    readonly ttlMs: number;
    readonly deleteKeys: boolean;
    stopTimer: () => void;
}

/** Result of a transaction: the values that it wrote or read, or an error for each operation that failed. */
type TransactionOutcome =
    | { readonly committed: true; readonly values: readonly StoredValue[]; }
    | { readonly committed: false; readonly errors: readonly { readonly index: number; readonly text: string; }[]; };

/** What the store held at one moment. */
interface PlatformBackup {
    readonly values: ReadonlyMap<string, StoredValue>;
    readonly index: number;
}

/** An in-memory, linearizable key-value store with the semantics of Consul for compare-and-swap, sessions and blocking queries. */
export class PlatformStore {
    private values = new Map<string, StoredValue>();
    private staleValues: ReadonlyMap<string, StoredValue> | undefined;
    private readonly sessions = new Map<string, LeaseSession>();
    private readonly waiters = new Set<() => void>();
    private lastIndex = 1;
    private sessionCount = 0;
    private restores = 0;

    private constructor(private readonly clock: Clock, private readonly maxValueBytes: number) {}

    /** Creates an empty store that rejects values larger than `maxValueBytes`. */
    public static create(clock: Clock, maxValueBytes = 1_048_576): PlatformStore {
        return new PlatformStore(clock, maxValueBytes);
    }

    public get index(): number {
        return this.lastIndex;
    }

    /** Number of times that the store came back from a backup. Blocking queries end then, as those of Consul do. */
    public get restoreCount(): number {
        return this.restores;
    }

    public get waitingCount(): number {
        return this.waiters.size;
    }

    /** While `stale` is set, reads return the state at the time when it was set. */
    public setStale(stale: boolean): void {
        if (!stale) this.staleValues = undefined;
        else this.staleValues ??= new Map(this.values);
    }

    public createBackup(): PlatformBackup {
        return { values: new Map(this.values), index: this.lastIndex };
    }

    /** Goes back to a backup: later writes are lost and their indexes are given out again. Sessions are kept. */
    public restore(backup: PlatformBackup): void {
        this.values = new Map(backup.values);
        this.lastIndex = backup.index;
        this.restores++;
        this.notifyWaiters();
    }

    public find(key: string): StoredValue | undefined {
        return (this.staleValues ?? this.values).get(key);
    }

    public list(prefix: string): readonly StoredValue[] {
        const found = [...(this.staleValues ?? this.values).values()].filter(stored => stored.key.startsWith(prefix));
        return found.sort((first, second) => first.key < second.key ? -1 : 1);
    }

    /** Applies all operations or, if one of them fails, none. */
    public commit(operations: readonly StoreOperation[]): TransactionOutcome {
        const previousValues = new Map(this.values);
        const index = this.lastIndex + 1;
        const results: StoredValue[] = [];
        const errors: { index: number; text: string; }[] = [];
        operations.forEach((operation, operationIndex) => {
            const rejectionReason = this.apply(operation, index, results);
            if (rejectionReason !== undefined) errors.push({ index: operationIndex, text: rejectionReason });
        });
        if (errors.length > 0) {
            this.values = previousValues;
            return { committed: false, errors };
        }
        if (operations.some(operation => !["get", "get-tree", "check-index", "check-session", "check-not-exists"].includes(operation.verb))) {
            this.lastIndex = index;
            this.notifyWaiters();
        }
        return { committed: true, values: results };
    }

    /** Calls the listener once, at the next write or after `waitMs`. The returned function cancels the wait. */
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
        this.startSessionTimer(session);
        return id;
    }

    /** Restarts the session's TTL. Returns whether the session still exists. */
    public renewSession(id: string): boolean {
        const session = this.sessions.get(id);
        if (session === undefined) return false;
        session.stopTimer();
        this.startSessionTimer(session);
        return true;
    }

    public destroySession(id: string): void {
        const session = this.sessions.get(id);
        if (session === undefined) return;
        session.stopTimer();
        this.sessions.delete(id);
        const lockedValues = [...this.values.values()].filter(stored => stored.session === id);
        if (lockedValues.length === 0) return;
        this.lastIndex++;
        for (const stored of lockedValues) {
            if (session.deleteKeys) this.values.delete(stored.key);
            else this.values.set(stored.key, { ...stored, session: undefined, modifyIndex: this.lastIndex });
        }
        this.notifyWaiters();
    }

    public close(): void {
        for (const session of this.sessions.values()) session.stopTimer();
        this.sessions.clear();
        this.waiters.clear();
    }

    private startSessionTimer(session: LeaseSession): void {
        if (session.ttlMs > 0) session.stopTimer = this.clock.startTimer(session.ttlMs, () => this.destroySession(session.id));
    }

    private notifyWaiters(): void {
        for (const waiter of [...this.waiters]) waiter();
    }

    /** Applies an operation. Returns the reason if the operation is rejected, and undefined otherwise. */
    private apply(operation: StoreOperation, index: number, results: StoredValue[]): string | undefined {
        const existing = this.values.get(operation.key);
        const rejectionReason = this.findRejectionReason(operation, existing);
        if (rejectionReason !== undefined) return rejectionReason;
        switch (operation.verb) {
            case "get":
            case "check-index":
            case "check-session":
                results.push(existing!);
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
                results.push(this.write(operation, existing, index));
                return undefined;
        }
    }

    private findRejectionReason(operation: StoreOperation, existing: StoredValue | undefined): string | undefined {
        if ((operation.value?.length ?? 0) > this.maxValueBytes) return "value too large";
        if (["set", "delete", "get-tree"].includes(operation.verb)) return undefined;
        if (operation.verb === "lock") return this.findLockRejectionReason(operation, existing);
        return isSatisfied(operation, existing) ? undefined : `${operation.verb} of ${operation.key} failed`;
    }

    private findLockRejectionReason(operation: StoreOperation, existing: StoredValue | undefined): string | undefined {
        if (!this.sessions.has(operation.session ?? "")) return "invalid session";
        return existing?.session === undefined || existing.session === operation.session ? undefined : "lock is already held";
    }

    private write(operation: StoreOperation, existing: StoredValue | undefined, index: number): StoredValue {
        const addedLocks = operation.verb === "lock" && existing?.session === undefined ? 1 : 0;
        const written: StoredValue = {
            key: operation.key,
            value: operation.value ?? Buffer.alloc(0),
            flags: 0,
            createIndex: existing?.createIndex ?? index,
            modifyIndex: index,
            lockIndex: (existing?.lockIndex ?? 0) + addedLocks,
            session: operation.verb === "lock" ? operation.session : operation.verb === "unlock" ? undefined : existing?.session,
        };
        this.values.set(written.key, written);
        return written;
    }
}

/** Whether the condition of a conditional operation is met. Always false for an unknown verb. */
function isSatisfied(operation: StoreOperation, existing: StoredValue | undefined): boolean {
    switch (operation.verb) {
        case "cas":
        case "delete-cas":
            return (existing?.modifyIndex ?? 0) === (operation.index ?? 0);
        case "get":
            return existing !== undefined;
        case "check-index":
            return existing?.modifyIndex === operation.index;
        case "check-not-exists":
            return existing === undefined;
        case "check-session":
        case "unlock":
            return existing !== undefined && existing.session === operation.session;
        default:
            return false;
    }
}
