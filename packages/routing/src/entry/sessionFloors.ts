import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { LogPosition } from "@vanillarouter/base/logPosition";

/** For each database group, the entry that reads of a session must not miss, and when this VM came to know it. */
export class SessionFloors {
    private readonly floors = new Map<string, LogPosition>();
    private readonly knownSince = new Map<string, number>();
    private hasToken = true;
    private hasPartialToken = false;
    private changes = 0;

    private constructor() {}

    public static create(): SessionFloors {
        return new SessionFloors();
    }

    /** Rises with every change. */
    public get revision(): number {
        return this.changes;
    }

    /** Whether a group without a floor has none, as opposed to one that this VM does not know. */
    public get isComplete(): boolean {
        return this.hasToken && !this.hasPartialToken;
    }

    public get entries(): ReadonlyMap<string, LogPosition> {
        return this.floors;
    }

    public find(group: string): LogPosition | undefined {
        return this.floors.get(group);
    }

    /** Returns when this VM came to know the floor of a group, in milliseconds of its clock. */
    public findKnownSince(group: string): number {
        return this.knownSince.get(group) ?? 0;
    }

    /** Whether the floor of a group has to be asked of its primary before the session's first read. */
    public needsConfirmation(group: string): boolean {
        return !this.isComplete && !this.floors.has(group);
    }

    /** Raises the floor of a group; a lower entry changes nothing. */
    public raise(group: string, floor: LogPosition, now: number): void {
        const known = this.floors.get(group);
        if (known !== undefined && compareLogPositions(floor, known) <= 0) return;
        this.floors.set(group, floor);
        this.knownSince.set(group, now);
        this.changes++;
    }

    /** States that the session brought no token, so that it may have floors that this VM does not know. */
    public noteMissingToken(): void {
        this.hasToken = false;
        this.changes++;
    }

    /** States that the session brought a token. Of several tokens, one that left floors out is enough to miss some. */
    public noteToken(isPartial: boolean): void {
        this.hasToken = true;
        this.hasPartialToken ||= isPartial;
        this.changes++;
    }

    public clear(): void {
        this.floors.clear();
        this.knownSince.clear();
        this.hasToken = true;
        this.hasPartialToken = false;
        this.changes++;
    }
}
