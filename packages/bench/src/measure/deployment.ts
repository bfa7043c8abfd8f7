import { DatabaseGroup } from "@vanillarouter/base/databaseGroup";
import { ClassLoad } from "./classLoad";

/** One of the two deployments of docs/design.md section 1 at today's size. */
export interface Deployment {
    readonly name: string;
    readonly zones: readonly string[];
    /** Zone of each entry VM. */
    readonly vmZones: readonly string[];
    /** Delay of a message between zones one way, in milliseconds. */
    readonly zoneDelayMs: number;
    readonly groups: readonly DatabaseGroup[];
    /** Classes of work, the least urgent last. */
    readonly loads: readonly ClassLoad[];
    /** Names of the classes of which overloads are measured, in this order. */
    readonly overloaded: readonly string[];
}
