/** Counters by name and label set. Values never decrease during the lifetime of the process. */
export class CounterMetrics {
    private readonly counters = new Map<string, Map<string, number>>();

    private constructor() {}

    public static create(): CounterMetrics {
        return new CounterMetrics();
    }

    /** Increases a counter under labels such as `class="orders",outcome="answered"`. */
    public add(name: string, labels: string, amount = 1): void {
        let values = this.counters.get(name);
        if (values === undefined) {
            values = new Map();
            this.counters.set(name, values);
        }
        values.set(labels, (values.get(labels) ?? 0) + amount);
    }

    /** Values by name, then by label set. */
    public get valuesByName(): ReadonlyMap<string, ReadonlyMap<string, number>> {
        return this.counters;
    }
}
