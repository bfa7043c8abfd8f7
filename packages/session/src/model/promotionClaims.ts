import { Operation } from "@vanillarouter/base/operation";

/** Locks in the platform's store. The holder of a group's lock, the claim, has the exclusive right to replace its primary. */
export interface PromotionClaims {
    /**
     * Takes the claim of a service with a compare-and-swap. Returns its fencing token, or undefined if another VM took
     * the claim first, if the previous claim is younger than `minAgeMs`, or if the store does not respond.
     */
    take(service: string, minAgeMs: number): Operation<number | undefined>;
    /** Whether the store still has the history in which the claim was taken. Another VM may take it anew otherwise. */
    isCurrent(fenceToken: number): boolean;
}
