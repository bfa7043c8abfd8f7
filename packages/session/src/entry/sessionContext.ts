import { ClusterState } from "../cluster/clusterState";
import { ServiceGroups } from "../cluster/serviceGroups";
import { EntryContext } from "./entryContext";
import { Shutdown } from "./shutdown";
import { StatementRunner } from "./statementRunner";

/** What the sessions of a VM share. */
export interface SessionContext extends EntryContext {
    readonly cluster: ClusterState;
    readonly groups: ServiceGroups;
    readonly runner: StatementRunner;
    readonly shutdown: Shutdown;
}
