import { Operation } from "@vanillarouter/base/operation";

/** Asks the platform to make an upstream the primary of its group. */
export interface Promoter {
    /**
     * Returns whether the platform accepted the call. `fenceToken` increases every time another VM takes the promotion claim.
     * `isClaimValid` is asked right before the call is sent; if the claim is no longer valid then, nothing is sent.
     */
    promote(service: string, upstreamId: string, fenceToken: number, isClaimValid: () => boolean): Operation<boolean>;
}
