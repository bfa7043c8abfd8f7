import { CallerAccount } from "./callerAccount";
import { DatabaseGroup } from "./databaseGroup";
import { WorkClass } from "./workClass";

/** The operators' configuration that is in effect on a VM. Each change replaces it with a new object. */
export interface Configuration {
    /** Sum of the store versions of all configuration shards; increases with every change. */
    readonly version: number;
    readonly classes: ReadonlyMap<string, WorkClass>;
    readonly accounts: ReadonlyMap<string, CallerAccount>;
    readonly groups: ReadonlyMap<string, DatabaseGroup>;
}
