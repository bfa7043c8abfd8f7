import { Clock } from "@vanillarouter/base/clock";
import { DatabaseGroup } from "@vanillarouter/base/databaseGroup";
import { UpstreamSettings } from "@vanillarouter/base/upstreamSettings";
import { SlotScheduler } from "@vanillarouter/scheduling/slotScheduler";
import { WriteConfirmation } from "../freshness/writeConfirmation";
import { GroupDirectory } from "../group/groupDirectory";
import { UpstreamControl } from "../group/upstreamControl";
import { StatementRunner } from "./statementRunner";
import { UpstreamWatch } from "./upstreamWatch";

/** The components of an owner that its executors share. */
export interface OwnerContext {
    readonly clock: Clock;
    readonly group: DatabaseGroup;
    readonly upstream: UpstreamSettings;
    readonly groups: GroupDirectory;
    /** Control interface of the owned upstream, for recording request outcomes. */
    readonly control: UpstreamControl;
    readonly scheduler: SlotScheduler;
    readonly runner: StatementRunner;
    readonly watch: UpstreamWatch;
    readonly confirmation: WriteConfirmation;
}
