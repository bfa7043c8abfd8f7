import { Freshness } from "./freshness";

/** A class of work: the service level of callers that connect to one database name. */
export interface WorkClass {
    /** Database name that callers connect to. */
    readonly database: string;
    readonly service: string;
    readonly freshness: Freshness;
    /** `BoundedAge` and `OwnWrites`: maximum age of data in milliseconds. */
    readonly maxAgeMs: number;
    readonly statementTimeoutMs: number;
    /** Latency target of an operation in milliseconds. */
    readonly targetMs: number;
    /** Zero is the most urgent. */
    readonly rank: number;
}
