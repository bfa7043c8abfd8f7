import { SharedRates } from "@vanillarouter/routing/scheduling/sharedRates";

/** Gives the ordinary rates of the upstreams that this VM owns, and keeps those of upstreams that it may own next. */
export interface RateExchange {
    collect(): readonly SharedRates[];
    learn(rates: readonly SharedRates[]): void;
}
