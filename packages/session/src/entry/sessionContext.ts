import { ClusterState } from "../cluster/clusterState";
import { AdmissionControl } from "../model/admissionControl";
import { EntryContext } from "./entryContext";
import { ExecutorSelector } from "./executorSelector";
import { Shutdown } from "./shutdown";

/** Dependencies shared by the caller sessions of a VM. */
export interface SessionContext extends EntryContext {
    readonly cluster: ClusterState;
    readonly executors: ExecutorSelector;
    readonly shutdown: Shutdown;
    readonly admission: AdmissionControl;
    /** Whether work that has not been sent is dropped when its caller closes the connection. */
    readonly dropsAbandonedWork: boolean;
}
