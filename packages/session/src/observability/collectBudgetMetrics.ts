import { ConnectionBudget } from "@vanillarouter/base/connectionBudget";
import { MetricFamily } from "@vanillarouter/base/metricFamily";

/** Collects the metrics of the callers' budget; none without a budget. */
export function collectBudgetMetrics(budget: ConnectionBudget | undefined): readonly MetricFamily[] {
    if (budget === undefined) return [];
    const createGauge = (name: string, help: string, value: number): MetricFamily => ({ name, help, type: "gauge", samples: [{ labels: "", value }] });
    return [
        createGauge("vanillarouter_caller_connections", "Connections of callers.", budget.connectionCount),
        createGauge("vanillarouter_caller_held_bytes", "Bytes held for callers in messages, responses and session values.", budget.heldBytes),
    ];
}
