import { Operation } from "@vanillarouter/base/operation";

/** The exclusive right to replace the primary of a group, kept in the platform's store. */
export interface PromotionClaims {
    /**
     * Takes the claim of a service with a compare-and-swap. Returns its fencing token, or undefined if another VM took
     * it, the last claim is younger than `minAgeMs`, or the store does not answer.
     */
    take(service: string, minAgeMs: number): Operation<number | undefined>;
}
