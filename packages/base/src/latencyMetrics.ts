import { build, Histogram } from "hdr-histogram-js";

const maxLatencyUs = 60_000_000;

/** Latency histograms by label set, in microseconds. Latencies above one minute are recorded as one minute. */
export class LatencyMetrics {
    private readonly histograms = new Map<string, Histogram>();

    private constructor() {}

    public static create(): LatencyMetrics {
        return new LatencyMetrics();
    }

    /** Records one latency in milliseconds under labels such as `class="orders",rank="urgent"`. */
    public record(labels: string, latencyMs: number): void {
        const latencyUs = Math.max(1, Math.round(latencyMs * 1000));
        this.getOrCreateHistogram(labels).recordValue(Math.min(latencyUs, maxLatencyUs));
    }

    public get histogramsByLabels(): ReadonlyMap<string, Histogram> {
        return this.histograms;
    }

    private getOrCreateHistogram(labels: string): Histogram {
        let histogram = this.histograms.get(labels);
        if (histogram === undefined) {
            histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: maxLatencyUs, numberOfSignificantValueDigits: 2 });
            this.histograms.set(labels, histogram);
        }
        return histogram;
    }
}
