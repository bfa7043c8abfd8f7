import { GroupView } from "@vanillarouter/base/groupView";
import { SharedRates } from "@vanillarouter/routing/scheduling/sharedRates";

/** Views of database groups and ordinary rates of upstreams, as one VM sends them to another. */
export interface GroupExchange {
    /** Digest of all views that the sender knows; a receiver with another one answers with its views. */
    readonly digest?: number;
    readonly views: readonly GroupView[];
    readonly rates: readonly SharedRates[];
}
