import { CallerAccount } from "./callerAccount";
import { DatabaseGroup } from "./databaseGroup";
import { WorkClass } from "./workClass";

/** The operators' configuration as in force on a VM. A new object replaces it at each change. */
export interface Configuration {
    /** Sum of the store versions of all shards; rises with every change. */
    readonly version: number;
    readonly classes: ReadonlyMap<string, WorkClass>;
    readonly accounts: ReadonlyMap<string, CallerAccount>;
    readonly groups: ReadonlyMap<string, DatabaseGroup>;
}
