import { build, Histogram } from "hdr-histogram-js";

/** Highest latency that the histograms record, in microseconds; longer ones are clamped to it. */
const maxLatencyUs = 60_000_000;
/** Timeout until enough latencies have been observed, in milliseconds. */
const initialTimeoutMs = 1_000;
/** Bounds of the timeout, in milliseconds. */
const minTimeoutMs = 25;
const maxTimeoutMs = 10_000;
/**
 * Ratio of the timeout to the 99.9th percentile of the latencies. The connection of a statement that takes longer is only
 * suspected of being silent, because the statement may just be unusually slow.
 */
const percentileFactor = 3;
/**
 * Number of observations in a histogram after which a new one is started. The timeout is derived from the current and the
 * previous histogram only, so that it follows changes in the upstream's latency.
 */
const rotationCount = 20_000;

/** Observations between two updates of the timeout. Each update scans a whole histogram. */
const derivationInterval = 64;

interface ClassLatencies {
    /** Most recently derived timeout, in milliseconds. */
    timeoutMs: number;
    current: Histogram;
    previous: Histogram | undefined;
}

/** Derives the time for which a statement of a class may show no progress from the latencies observed for that class. */
export class ProgressTimeout {
    private readonly latenciesByClass = new Map<string, ClassLatencies>();

    private constructor() {}

    public static create(): ProgressTimeout {
        return new ProgressTimeout();
    }

    public record(className: string, latencyMs: number): void {
        const latencies = this.getOrCreate(className);
        latencies.current.recordValue(Math.min(Math.max(1, Math.round(latencyMs * 1000)), maxLatencyUs));
        if (latencies.current.totalCount % derivationInterval === 0) latencies.timeoutMs = deriveTimeout(latencies);
        if (latencies.current.totalCount < rotationCount) return;
        latencies.previous = latencies.current;
        latencies.current = createHistogram();
    }

    /** Progress timeout for a statement of a class, in milliseconds. */
    public getTimeoutMs(className: string): number {
        return this.latenciesByClass.get(className)?.timeoutMs ?? initialTimeoutMs;
    }

    private getOrCreate(className: string): ClassLatencies {
        let latencies = this.latenciesByClass.get(className);
        if (latencies === undefined) {
            latencies = { timeoutMs: initialTimeoutMs, current: createHistogram(), previous: undefined };
            this.latenciesByClass.set(className, latencies);
        }
        return latencies;
    }
}

function createHistogram(): Histogram {
    return build({ bitBucketSize: 32, lowestDiscernibleValue: 1, highestTrackableValue: maxLatencyUs, numberOfSignificantValueDigits: 2 });
}

function deriveTimeout(latencies: ClassLatencies): number {
    const percentile = Math.max(readPercentile(latencies.current), readPercentile(latencies.previous));
    return Math.min(Math.max(percentile * percentileFactor, minTimeoutMs), maxTimeoutMs);
}

function readPercentile(histogram: Histogram | undefined): number {
    return histogram === undefined || histogram.totalCount === 0 ? 0 : histogram.getValueAtPercentile(99.9) / 1000;
}
