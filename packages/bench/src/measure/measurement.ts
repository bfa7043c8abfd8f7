import { OverloadMeasurement } from "./overloadMeasurement";

/** The measures of one deployment. Shares are from 0 to 1, counts are over all scenarios. */
export interface Measurement {
    /** Share of eligible reads served by replicas, under ordinary load and during failures. */
    readonly replicaReadShare: number;
    readonly failoverGapMs: {
        readonly failures: number;
        /** Failures after which a write was acknowledged in a later term. */
        readonly completed: number;
        readonly median?: number;
        readonly longest?: number;
        readonly detectionMedian?: number;
        readonly electionMedian?: number;
        readonly firstWriteMedian?: number;
    };
    /** Share of each class's requests answered correctly, once and within the target, under ordinary load. */
    readonly service: Readonly<Record<string, number>>;
    readonly serviceDuringFailures: Readonly<Record<string, number>>;
    readonly overload: Readonly<Record<string, OverloadMeasurement>>;
    /** Acknowledged writes that the final logs lack. */
    readonly lost: number;
    /** Requests executed more than once. */
    readonly doubled: number;
    /** Answers that belonged to another request. */
    readonly mixed: number;
    /** Writes refused as "did not run" that the final logs hold. */
    readonly refusedButRan: number;
    /** Reads that missed an acknowledged write of their own session. */
    readonly ownWriteMissed: number;
    /** Reads of data older than their class accepts. */
    readonly tooOld: number;
}
