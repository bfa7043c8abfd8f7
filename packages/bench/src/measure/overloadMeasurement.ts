/** What an overload of one class left of the service. Shares are from 0 to 1. */
export interface OverloadMeasurement {
    /** Share of the requests of each class that were answered correctly, once and within the target. */
    readonly service: Readonly<Record<string, number>>;
    /** Service of each other class as a part of its service without the overload. */
    readonly kept: Readonly<Record<string, number>>;
    readonly lowestKept: number;
    /** Share of the requests of the other urgent classes answered within target; absent if there is none. */
    readonly otherUrgentWithinTarget?: number;
    readonly overloadedServedPerSecond: number;
    /** Requests of the overloaded class that ended with an unknown outcome. */
    readonly overloadedUnknown: number;
}
