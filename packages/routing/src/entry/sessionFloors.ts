import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { LogPosition } from "@vanillarouter/base/logPosition";

/**
 * The floors of a session: for each database group, the position of the log entry that an upstream must have applied before it may serve
 * the session's reads, and the time when this VM learned of it.
 */
export class SessionFloors {
    private readonly floors = new Map<string, LogPosition>();
    private readonly knownSince = new Map<string, number>();
    private hasToken = true;
    private hasPartialToken = false;
    private changeCount = 0;

    private constructor() {}

    public static create(): SessionFloors {
        return new SessionFloors();
    }

    /** Incremented with every change. */
    public get revision(): number {
        return this.changeCount;
    }

    /** Whether all floors of the session are known here. Otherwise a group without a floor may have an unknown one. */
    public get isComplete(): boolean {
        return this.hasToken && !this.hasPartialToken;
    }

    public get byGroup(): ReadonlyMap<string, LogPosition> {
        return this.floors;
    }

    public find(group: string): LogPosition | undefined {
        return this.floors.get(group);
    }

    /** Returns the time when this VM learned of the floor of a group, in milliseconds of its clock. */
    public findKnownSince(group: string): number {
        return this.knownSince.get(group) ?? 0;
    }

    /** Whether the floor of a group has to be obtained from its primary before the session reads from the group. */
    public needsConfirmation(group: string): boolean {
        return !this.isComplete && !this.floors.has(group);
    }

    /** Raises the floor of a group. A position that is not higher than the known floor is ignored. */
    public raise(group: string, floor: LogPosition, now: number): void {
        const known = this.floors.get(group);
        if (known !== undefined && compareLogPositions(floor, known) <= 0) return;
        this.floors.set(group, floor);
        this.knownSince.set(group, now);
        this.changeCount++;
    }

    /** Records that the session came without a token, so that it may have floors that this VM does not know. */
    public recordMissingToken(): void {
        this.hasToken = false;
        this.changeCount++;
    }

    /** Records that the session came with a token. One partial token among several makes the floors incomplete. */
    public recordToken(isPartial: boolean): void {
        this.hasToken = true;
        this.hasPartialToken ||= isPartial;
        this.changeCount++;
    }

    public clear(): void {
        this.floors.clear();
        this.knownSince.clear();
        this.hasToken = true;
        this.hasPartialToken = false;
        this.changeCount++;
    }
}
