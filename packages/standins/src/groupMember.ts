import { LogPosition } from "@vanillarouter/base/logPosition";
import { ErrorNumber } from "./errorNumber";
import { GroupError } from "./groupError";
import { GroupLog } from "./groupLog";
import { GroupLogEntry } from "./groupLogEntry";
import { GroupTables } from "./groupTables";

/** A log entry before its term and position are assigned. */
type NewLogEntry = Omit<GroupLogEntry, "term" | "position">;

/**
 * The state of one upstream: accepted term, role, log and tables.
 *
 * An upstream accepts no log entries of a term below the accepted one. A primary that has been replaced without being
 * notified continues to execute statements locally; it learns of the newer primary only through `acceptTerm` and `follow`.
 */
export class GroupMember {
    public readonly log = GroupLog.create();
    public readonly discarded: GroupLogEntry[] = [];
    private term = 0;
    private primaryId: string | undefined;
    private applied = 0;
    private lastContactAt = performance.now();
    private readonly scheduledApplies: { readonly position: number; readonly dueAt: number; }[] = [];
    private applyTimer: NodeJS.Timeout | undefined;
    private readonly listeners = new Set<() => void>();

    private constructor(public readonly id: string, public readonly tables: GroupTables, private applyLagMs: number) {}

    public static create(id: string, tables: GroupTables, applyLagMs: number): GroupMember {
        return new GroupMember(id, tables, applyLagMs);
    }

    public get acceptedTerm(): number {
        return this.term;
    }

    public get primary(): string | undefined {
        return this.primaryId;
    }

    public get isPrimary(): boolean {
        return this.primaryId === this.id;
    }

    public get appliedPosition(): LogPosition {
        return this.log.positionAt(this.applied);
    }

    /** Milliseconds since the last message from the primary; 0 on the primary itself. */
    public get primarySilenceMs(): number {
        return this.isPrimary ? 0 : Math.round(performance.now() - this.lastContactAt);
    }

    /** Calls the listener after each change of term, role or log. Returns a function that removes it. */
    public onChange(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    public setApplyLag(applyLagMs: number): void {
        this.applyLagMs = applyLagMs;
    }

    public acceptTerm(term: number): boolean {
        if (term <= this.term) return false;
        this.term = term;
        this.primaryId = undefined;
        this.notify();
        return true;
    }

    public promote(term: number): void {
        if (term !== this.term) throw this.createTermError();
        if (this.isPrimary) return;
        if (this.primaryId !== undefined) throw this.createTermError();
        this.primaryId = this.id;
        this.append({ operations: [], statements: [], affectedRows: 0, insertId: 0 });
    }

    public follow(term: number, primary: string): void {
        if (term < this.term || primary === this.id) throw this.createTermError();
        if (term === this.term && this.primaryId !== undefined && this.primaryId !== primary) throw this.createTermError();
        if (term === this.term && this.primaryId === primary) return;
        this.term = term;
        this.primaryId = primary;
        this.lastContactAt = performance.now();
        this.notify();
    }

    /** Appends an entry as primary, and applies it and all earlier entries immediately. */
    public append(entry: NewLogEntry): GroupLogEntry {
        const added: GroupLogEntry = { term: this.term, position: this.log.length + 1, ...entry };
        this.log.append(added);
        this.applyUpTo(added.position);
        this.notify();
        return added;
    }

    /** Appends entries received from the primary of `term`. They are applied after the configured lag. */
    public receive(term: number, entries: readonly GroupLogEntry[]): void {
        if (term !== this.term || this.isPrimary) return;
        this.lastContactAt = performance.now();
        if (entries.length === 0) return;
        for (const entry of entries) this.log.append(entry);
        if (this.applyLagMs === 0 && this.scheduledApplies.length === 0) this.applyUpTo(this.log.length);
        else this.scheduleApply(entries.at(-1)!.position);
        this.notify();
    }

    /** Removes the entries after `position` and undoes their changes in the tables. */
    public discardAfter(position: number): void {
        if (position >= this.log.length) return;
        this.discarded.push(...this.log.truncate(position));
        this.scheduledApplies.splice(0, this.scheduledApplies.length, ...this.scheduledApplies.filter(scheduled => scheduled.position <= position));
        if (this.applied <= position) return;
        this.applied = 0;
        this.tables.reset();
        this.applyUpTo(position);
    }

    public createTermError(): GroupError {
        const role = this.isPrimary ? "primary" : "replica";
        return GroupError.create(ErrorNumber.Signal, `vr_term accepted=${this.term} role=${role}`);
    }

    private scheduleApply(position: number): void {
        this.scheduledApplies.push({ position, dueAt: performance.now() + this.applyLagMs });
        if (this.applyTimer === undefined) this.startApplyTimer();
    }

    private startApplyTimer(): void {
        const next = this.scheduledApplies[0];
        if (next === undefined) return;
        this.applyTimer = setTimeout(() => this.applyScheduled(), Math.max(0, next.dueAt - performance.now()));
    }

    private applyScheduled(): void {
        this.applyTimer = undefined;
        const now = performance.now();
        while (this.scheduledApplies[0] !== undefined && this.scheduledApplies[0].dueAt <= now) this.applyUpTo(this.scheduledApplies.shift()!.position);
        this.startApplyTimer();
    }

    private applyUpTo(position: number): void {
        while (this.applied < Math.min(position, this.log.length)) {
            this.applied++;
            for (const operation of this.log.find(this.applied)!.operations) this.tables.apply(operation);
        }
    }

    private notify(): void {
        for (const listener of [...this.listeners]) listener();
    }
}
