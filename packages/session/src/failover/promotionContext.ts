import { Clock } from "@vanillarouter/base/clock";
import * as bunyan from "bunyan";
import { EntryMetrics } from "../entry/entryMetrics";
import { SuspensionDetector } from "../freshness/suspensionDetector";
import { Promoter } from "../model/promoter";
import { PromotionClaims } from "../model/promotionClaims";

/** Dependencies shared by the promotions of all groups. */
export interface PromotionContext {
    readonly clock: Clock;
    readonly suspension: SuspensionDetector;
    readonly claims: PromotionClaims;
    readonly promoter: Promoter;
    readonly metrics: EntryMetrics;
    readonly log: bunyan;
}
