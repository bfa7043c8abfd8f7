import { Clock } from "@vanillarouter/base/clock";
import { DatabaseGroup } from "@vanillarouter/base/databaseGroup";
import { UpstreamSettings } from "@vanillarouter/base/upstreamSettings";
import { GroupDirectory } from "./groupDirectory";
import { GroupPeer } from "./groupPeer";
import { SlotScheduler } from "./slotScheduler";
import { StatementRunner } from "./statementRunner";
import { UpstreamWatch } from "./upstreamWatch";
import { WriteConfirmation } from "./writeConfirmation";

/** The parts of an owner that its executors share. */
export interface OwnerContext {
    readonly clock: Clock;
    readonly group: DatabaseGroup;
    readonly upstream: UpstreamSettings;
    readonly groups: GroupDirectory;
    /** Control side of the owned upstream for writes of outcomes. */
    readonly control: GroupPeer;
    readonly scheduler: SlotScheduler;
    readonly runner: StatementRunner;
    readonly watch: UpstreamWatch;
    readonly confirmation: WriteConfirmation;
}
