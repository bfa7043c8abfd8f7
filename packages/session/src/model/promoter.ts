import { Operation } from "@vanillarouter/base/operation";

/** Asks the platform to make an upstream the primary of its group. */
export interface Promoter {
    /** Returns whether the platform accepted the call. `fenceToken` rises with each change of the holder. */
    promote(service: string, upstreamId: string, fenceToken: number): Operation<boolean>;
}
