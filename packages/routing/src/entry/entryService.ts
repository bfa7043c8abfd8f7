import { Clock } from "@vanillarouter/base/clock";
import { ConfigurationSource } from "@vanillarouter/base/configurationSource";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { ReadRouter } from "../freshness/readRouter";
import { GroupDirectory } from "../group/groupDirectory";
import { PrimaryClient } from "../group/primaryClient";
import { PrimaryFinder } from "../group/primaryFinder";
import { OwnerDirectory } from "../owner/ownerDirectory";
import { CallerSession } from "./callerSession";
import { EntryContext } from "./entryContext";
import { EntryMetrics } from "./entryMetrics";
import { EntryReads } from "./entryReads";
import { EntrySession } from "./entrySession";
import { EntryWrites } from "./entryWrites";
import { RetryBudgets } from "./retryBudgets";
import { SessionTokenCodec } from "./sessionTokenCodec";

/** The dependencies of the entry role of a VM. */
interface EntryServiceOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly configuration: ConfigurationSource;
    readonly groups: GroupDirectory;
    /** Must return the same link object for an upstream as long as the upstream has the same owner. */
    readonly owners: OwnerDirectory;
    /** Key shared by the cluster, with which session tokens are signed. */
    readonly tokenKey: Buffer;
    readonly metrics?: EntryMetrics;
}

/** The entry role of a VM: keeps the sessions of callers, routes their statements and determines the outcome of each. */
export class EntryService {
    private constructor(
        private readonly context: EntryContext,
        private readonly primaryClient: PrimaryClient,
        private readonly reads: EntryReads,
        private readonly writes: EntryWrites,
    ) {}

    public static create(options: EntryServiceOptions): EntryService {
        const { clock, random, configuration, groups, owners, tokenKey } = options;
        const context: EntryContext = {
            clock,
            configuration,
            tokens: SessionTokenCodec.create(tokenKey),
            finder: PrimaryFinder.create(clock, groups, owners),
            router: ReadRouter.create(clock, random, groups, owners),
            budgets: RetryBudgets.create(),
            metrics: options.metrics ?? EntryMetrics.create(),
        };
        const primaryClient = PrimaryClient.create(context);
        return new EntryService(context, primaryClient, EntryReads.create(context, primaryClient), EntryWrites.create(context, primaryClient));
    }

    public get metrics(): EntryMetrics {
        return this.context.metrics;
    }

    /** Opens the session of a caller connection. */
    public openSession(): CallerSession {
        return EntrySession.create(this.context, this.primaryClient, this.reads, this.writes);
    }
}
