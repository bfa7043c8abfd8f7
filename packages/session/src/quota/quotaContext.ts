import { Clock } from "@vanillarouter/base/clock";
import { CounterMetrics } from "@vanillarouter/base/counterMetrics";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import * as bunyan from "bunyan";
import { ClusterView } from "../cluster/clusterView";
import { SuspensionDetector } from "../freshness/suspensionDetector";
import { KeeperHealth } from "./keeperHealth";
import { KeeperRoster } from "./keeperRoster";
import { QuotaKeepers } from "./quotaKeepers";

/** Services shared by the admission checks of all tenants of an entry VM. */
export interface QuotaContext {
    readonly clock: Clock;
    readonly suspension: SuspensionDetector;
    readonly cluster: ClusterView;
    readonly roster: KeeperRoster;
    readonly keepers: QuotaKeepers;
    readonly health: KeeperHealth;
    readonly tasks: TaskGroup;
    readonly counters: CounterMetrics;
    readonly log: bunyan;
}
