import { GroupView } from "@vanillarouter/base/groupView";
import { MeasuredShares } from "@vanillarouter/scheduling/measuredShares";

/** Views of database groups and ordinary shares of upstreams, as exchanged between VMs. */
export interface GroupExchange {
    /** Digest of all views that the sender knows; a receiver whose digest differs responds with its views. */
    readonly digest?: number;
    readonly views: readonly GroupView[];
    /** Ordinary shares, one element for each upstream. */
    readonly rates: readonly MeasuredShares[];
}
