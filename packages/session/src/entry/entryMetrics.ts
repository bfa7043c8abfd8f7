import { CounterMetrics } from "@vanillarouter/base/counterMetrics";
import { LatencyMetrics } from "@vanillarouter/base/latencyMetrics";
import { ErrorKind } from "../model/errorKind";

/** Counters and latencies of the statements that this VM answered. */
export class EntryMetrics {
    public readonly latencies = LatencyMetrics.create();
    public readonly failovers = LatencyMetrics.create();
    public readonly counters = CounterMetrics.create();

    private constructor() {}

    public static create(): EntryMetrics {
        return new EntryMetrics();
    }

    public record(workClass: string, error: ErrorKind | undefined, latencyMs: number): void {
        this.counters.add("vanillarouter_statements_total", `class="${workClass}",outcome="${error ?? "answered"}"`);
        this.latencies.record(`class="${workClass}"`, latencyMs);
    }
}
