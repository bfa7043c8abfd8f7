import { LogPosition } from "@vanillarouter/base/logPosition";

/** State of an upstream that its owner attaches to each response, used to route later reads. */
export interface OwnerLoad {
    readonly upstream: string;
    /** Expected wait for a slot, in milliseconds. */
    readonly queueDelayMs: number;
    /** Position of the last log entry that the upstream is known to have applied. */
    readonly applied: LogPosition;
    /** Age of the newest freshness proof that the upstream's data satisfies, in milliseconds; absent if there is none. */
    readonly provenAgeMs?: number;
}
