import type { LatencyMetrics } from "@vanillarouter/base/latencyMetrics";

/** Loading the histogram module takes tens of milliseconds, so it is delayed until the more urgent work at startup is done. */
const loadDelayMs = 3_000;
/** Maximum number of latencies buffered until the histograms are loaded. */
const maxBufferedLatencies = 20_000;

/** Latency histograms whose module is loaded some seconds after startup. Latencies recorded before then are buffered. */
export class DeferredLatencies {
    private metrics: LatencyMetrics | undefined;
    private buffered: { readonly labels: string; readonly latencyMs: number; }[] = [];

    private constructor() {}

    public static create(): DeferredLatencies {
        const latencies = new DeferredLatencies();
        setTimeout(() => void latencies.load(), loadDelayMs).unref();
        return latencies;
    }

    /** The histograms; undefined until they are loaded. */
    public get loaded(): LatencyMetrics | undefined {
        return this.metrics;
    }

    public record(labels: string, latencyMs: number): void {
        if (this.metrics !== undefined) this.metrics.record(labels, latencyMs);
        else if (this.buffered.length < maxBufferedLatencies) this.buffered.push({ labels, latencyMs });
    }

    private async load(): Promise<void> {
        const { LatencyMetrics } = await import("@vanillarouter/base/latencyMetrics");
        const metrics = LatencyMetrics.create();
        for (const { labels, latencyMs } of this.buffered) metrics.record(labels, latencyMs);
        this.buffered = [];
        this.metrics = metrics;
    }
}
