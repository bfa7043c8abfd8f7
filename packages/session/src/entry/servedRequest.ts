import { WorkClass } from "../model/workClass";
import { FloorTable } from "./floorTable";
import { SessionValues } from "./sessionValues";

/** One operation of a caller: a single statement, or a transaction. */
export interface ServedRequest {
    /** Id of its first statement, for the log. */
    readonly id: string;
    readonly workClass: WorkClass;
    readonly session: SessionValues;
    readonly floors: FloorTable;
    /** Local time at which its first byte was seen. */
    readonly receivedAt: number;
    /** Only reads: any fresh upstream may run it, any number of times. */
    readonly readOnly: boolean;
    /** Returns data, so the upstream has to be proven fresh enough. False for a single write. */
    readonly mayRead: boolean;
}
