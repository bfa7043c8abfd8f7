import { Clock } from "@vanillarouter/base/clock";
import { ConfigurationSource } from "@vanillarouter/base/configurationSource";
import { ReadRouter } from "../freshness/readRouter";
import { PrimaryFinder } from "../group/primaryFinder";
import { EntryMetrics } from "./entryMetrics";
import { RetryBudgets } from "./retryBudgets";
import { SessionTokenCodec } from "./sessionTokenCodec";

/** State and services shared by all sessions of an entry VM. */
export interface EntryContext {
    readonly clock: Clock;
    readonly configuration: ConfigurationSource;
    readonly tokens: SessionTokenCodec;
    readonly finder: PrimaryFinder;
    readonly router: ReadRouter;
    readonly budgets: RetryBudgets;
    readonly metrics: EntryMetrics;
}
