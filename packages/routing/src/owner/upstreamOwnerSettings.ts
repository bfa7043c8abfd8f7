import { Clock } from "@vanillarouter/base/clock";
import { ConfigurationSource } from "@vanillarouter/base/configurationSource";
import { createLogger } from "@vanillarouter/base/createLogger";
import { DatabaseGroup } from "@vanillarouter/base/databaseGroup";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { UpstreamSettings } from "@vanillarouter/base/upstreamSettings";
import { MeasuredShares } from "@vanillarouter/scheduling/measuredShares";
import { GroupDirectory } from "../group/groupDirectory";
import { UpstreamConnector } from "../group/upstreamConnector";
import { OwnerDirectory } from "./ownerDirectory";

/** Settings and dependencies of the owner of an upstream. */
export interface UpstreamOwnerSettings {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly group: DatabaseGroup;
    readonly upstream: UpstreamSettings;
    readonly connector: UpstreamConnector;
    readonly groups: GroupDirectory;
    readonly owners: OwnerDirectory;
    readonly configuration: ConfigurationSource;
    readonly logger?: ReturnType<typeof createLogger>;
    /** Ordinary shares that a previous owner measured. */
    readonly initialShares?: MeasuredShares;
}
