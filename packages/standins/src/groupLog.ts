import { LogPosition } from "@vanillarouter/base/logPosition";
import { GroupEntry } from "./groupEntry";

/** The log of one upstream with the request ids recorded in it. */
export class GroupLog {
    private readonly entries: GroupEntry[] = [];
    private readonly byRequest = new Map<string, GroupEntry>();

    private constructor() {}

    public static create(): GroupLog {
        return new GroupLog();
    }

    public get last(): LogPosition {
        return this.positionAt(this.entries.length);
    }

    public get length(): number {
        return this.entries.length;
    }

    /** Returns the entry's term and position; term 0 and position 0 for the empty log. */
    public positionAt(position: number): LogPosition {
        const entry = this.entries[position - 1];
        return entry === undefined ? { term: 0, position: 0 } : { term: entry.term, position: entry.position };
    }

    public find(position: number): GroupEntry | undefined {
        return this.entries[position - 1];
    }

    public findRequest(requestId: string): GroupEntry | undefined {
        return this.byRequest.get(requestId);
    }

    /** Whether the log contains exactly this entry. Equal term and position mean an equal log up to there. */
    public holds(entry: LogPosition): boolean {
        return entry.position === 0 || this.entries[entry.position - 1]?.term === entry.term;
    }

    public append(entry: GroupEntry): void {
        if (entry.position !== this.entries.length + 1) throw new Error(`entry ${entry.position} does not follow ${this.entries.length}`);
        this.entries.push(entry);
        if (entry.requestId !== undefined) this.byRequest.set(entry.requestId, entry);
    }

    /** Drops all entries after `position` and returns them. */
    public truncate(position: number): readonly GroupEntry[] {
        const dropped = this.entries.splice(position);
        for (const entry of dropped) {
            if (entry.requestId !== undefined && this.byRequest.get(entry.requestId) === entry) this.byRequest.delete(entry.requestId);
        }
        return dropped;
    }

    public slice(from: number): readonly GroupEntry[] {
        return this.entries.slice(from);
    }

    /** Last position of each term, in order of terms. Two logs are compared with it. */
    public get termEnds(): readonly LogPosition[] {
        const ends: LogPosition[] = [];
        for (const entry of this.entries) {
            if (ends.at(-1)?.term === entry.term) ends.pop();
            ends.push({ term: entry.term, position: entry.position });
        }
        return ends;
    }

    /** Returns the last position up to which a log with these term ends equals this one. */
    public findCommonPosition(ends: readonly LogPosition[]): number {
        const own = new Map(this.termEnds.map(end => [end.term, end.position]));
        for (const end of [...ends].reverse()) {
            const ownEnd = own.get(end.term);
            if (ownEnd !== undefined) return Math.min(ownEnd, end.position);
        }
        return 0;
    }
}
