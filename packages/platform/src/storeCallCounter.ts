/** Counts calls to the platform by kind. A blocking watch counts as one open call. */
export class StoreCallCounter {
    private readonly totals = new Map<string, number>();
    private open = 0;

    private constructor() {}

    public static create(): StoreCallCounter {
        return new StoreCallCounter();
    }

    public get openCalls(): number {
        return this.open;
    }

    /** Number of calls since the start, by kind. */
    public get calls(): ReadonlyMap<string, number> {
        return this.totals;
    }

    public begin(kind: string): void {
        this.totals.set(kind, (this.totals.get(kind) ?? 0) + 1);
        this.open++;
    }

    public end(): void {
        this.open--;
    }
}
