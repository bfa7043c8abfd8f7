import { CounterMetrics } from "./counterMetrics";
import { MetricFamily } from "./metricFamily";

/** Makes a family of each counter. `help` gives the text by name. */
export function createCounterFamilies(counters: CounterMetrics, help: Readonly<Record<string, string>>): readonly MetricFamily[] {
    return [...counters.entries].map(([name, values]) => ({
        name,
        help: help[name] ?? name,
        type: "counter",
        samples: [...values].map(([labels, value]) => ({ labels, value })),
    }));
}
