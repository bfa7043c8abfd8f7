import { CounterMetrics } from "./counterMetrics";
import { MetricFamily } from "./metricFamily";

/** Creates a metric family for each counter. `help` maps counter names to help texts. */
export function createCounterFamilies(counters: CounterMetrics, help: Readonly<Record<string, string>>): readonly MetricFamily[] {
    return [...counters.valuesByName].map(([name, values]) => ({
        name,
        help: help[name] ?? name,
        type: "counter",
        samples: [...values].map(([labels, value]) => ({ labels, value })),
    }));
}
