import { LogPosition } from "@vanillarouter/base/logPosition";
import { GroupLogEntry } from "./groupLogEntry";

/** The log of one upstream, with an index by request id. */
export class GroupLog {
    private readonly entries: GroupLogEntry[] = [];
    private readonly entriesByRequestId = new Map<string, GroupLogEntry>();

    private constructor() {}

    public static create(): GroupLog {
        return new GroupLog();
    }

    public get lastPosition(): LogPosition {
        return this.positionAt(this.entries.length);
    }

    public get length(): number {
        return this.entries.length;
    }

    /** Returns the term and position of the log entry at `position`, or term 0 and position 0 if there is no such entry. */
    public positionAt(position: number): LogPosition {
        const entry = this.entries[position - 1];
        return entry === undefined ? { term: 0, position: 0 } : { term: entry.term, position: entry.position };
    }

    public find(position: number): GroupLogEntry | undefined {
        return this.entries[position - 1];
    }

    public findByRequestId(requestId: string): GroupLogEntry | undefined {
        return this.entriesByRequestId.get(requestId);
    }

    /** Whether the log contains the log entry with this term and position. Two logs that both contain an entry are equal up to its position. */
    public contains(entry: LogPosition): boolean {
        return entry.position === 0 || this.entries[entry.position - 1]?.term === entry.term;
    }

    public append(entry: GroupLogEntry): void {
        if (entry.position !== this.entries.length + 1) throw new Error(`log entry ${entry.position} does not follow log entry ${this.entries.length}`);
        this.entries.push(entry);
        if (entry.requestId !== undefined) this.entriesByRequestId.set(entry.requestId, entry);
    }

    /** Removes all entries after `position` and returns them. */
    public truncate(position: number): readonly GroupLogEntry[] {
        const removed = this.entries.splice(position);
        for (const entry of removed) {
            if (entry.requestId !== undefined && this.entriesByRequestId.get(entry.requestId) === entry) this.entriesByRequestId.delete(entry.requestId);
        }
        return removed;
    }

    public slice(from: number): readonly GroupLogEntry[] {
        return this.entries.slice(from);
    }

    /** Position of the last entry of each term, in the order of the terms. A replica sends these so that the primary can compare the two logs. */
    public get termEnds(): readonly LogPosition[] {
        const ends: LogPosition[] = [];
        for (const entry of this.entries) {
            if (ends.at(-1)?.term === entry.term) ends.pop();
            ends.push({ term: entry.term, position: entry.position });
        }
        return ends;
    }

    /** Returns the length of the common prefix of this log and a log with the given `termEnds`. */
    public findCommonPosition(ends: readonly LogPosition[]): number {
        const own = new Map(this.termEnds.map(end => [end.term, end.position]));
        for (const end of [...ends].reverse()) {
            const ownEnd = own.get(end.term);
            if (ownEnd !== undefined) return Math.min(ownEnd, end.position);
        }
        return 0;
    }
}
