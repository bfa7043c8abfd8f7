import { LatencyMetrics } from "./latencyMetrics";
import { MetricFamily } from "./metricFamily";

const microsecondsPerSecond = 1_000_000;
const percentiles = [50, 90, 99, 99.9];

/** Creates a summary of all latencies since the process started, in seconds. */
export function createLatencyFamily(name: string, help: string, latencies: LatencyMetrics): MetricFamily {
    const samples = [...latencies.histogramsByLabels].flatMap(([labels, histogram]) => {
        const quantiles = percentiles.map(percentile => ({
            labels: `${labels},quantile="${percentile / 100}"`,
            value: histogram.getValueAtPercentile(percentile) / microsecondsPerSecond,
        }));
        const count = histogram.totalCount;
        const sum = count === 0 ? 0 : histogram.mean * count / microsecondsPerSecond;
        return [...quantiles, { suffix: "_sum", labels, value: sum }, { suffix: "_count", labels, value: count }];
    });
    return { name, help, type: "summary", samples };
}
