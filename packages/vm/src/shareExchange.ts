import { MeasuredShares } from "@vanillarouter/scheduling/measuredShares";

/** Provides the ordinary shares of the upstreams that this VM owns, and stores those of upstreams that it may own next. */
export interface ShareExchange {
    collect(): readonly MeasuredShares[];
    learn(shares: readonly MeasuredShares[]): void;
}
