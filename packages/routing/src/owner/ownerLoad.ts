import { LogPosition } from "@vanillarouter/base/logPosition";

/** What an owner says about its upstream with each reply, for the routing of later reads. */
export interface OwnerLoad {
    readonly upstream: string;
    /** Expected wait for a slot, in milliseconds. */
    readonly queueDelayMs: number;
    /** Last entry that the upstream is known to have applied. */
    readonly applied: LogPosition;
    /** Age of the newest proof of freshness that the upstream's data meets, in milliseconds; absent without a proof. */
    readonly provenAgeMs?: number;
}
