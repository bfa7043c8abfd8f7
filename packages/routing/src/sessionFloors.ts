import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { LogPosition } from "@vanillarouter/base/logPosition";

/** For each database group, the entry that reads of a session must not miss, and when this VM came to know it. */
export class SessionFloors {
    private readonly floors = new Map<string, LogPosition>();
    private readonly knownSince = new Map<string, number>();
    private complete = true;
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
        return this.complete;
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
        return !this.complete && !this.floors.has(group);
    }

    /** Raises the floor of a group; a lower entry changes nothing. */
    public raise(group: string, floor: LogPosition, now: number): void {
        const known = this.floors.get(group);
        if (known !== undefined && compareLogPositions(floor, known) <= 0) return;
        this.floors.set(group, floor);
        this.knownSince.set(group, now);
        this.changes++;
    }

    /** States whether all floors that the session has are listed here. */
    public setComplete(complete: boolean): void {
        if (this.complete === complete) return;
        this.complete = complete;
        this.changes++;
    }

    public clear(): void {
        this.floors.clear();
        this.knownSince.clear();
        this.complete = true;
        this.changes++;
    }
}
