import { WorkClass } from "../model/workClass";
import { Abandonment } from "./abandonment";
import { FloorTable } from "./floorTable";
import { SessionValues } from "./sessionValues";

/** An operation of a caller, either a single statement or a transaction, with the session state that it needs. */
export interface CallerRequest {
    /** Id of the operation's first statement, used in the log. */
    readonly id: string;
    readonly workClass: WorkClass;
    /** Name of the tenant on whose behalf the operation runs; undefined if the caller is not authenticated. */
    readonly tenant?: string;
    /** Whether the caller has left. Undefined if work is not dropped for it. */
    readonly abandonment?: Abandonment;
    readonly session: SessionValues;
    readonly floors: FloorTable;
    /** Local time in milliseconds at which the first byte of the operation was read. */
    readonly receivedAt: number;
    /** Whether the operation only reads, so that any fresh upstream may run it, any number of times. */
    readonly readOnly: boolean;
    /** Whether the operation may return data, so that the upstream must be verified to be fresh enough. False for a single write. */
    readonly mayRead: boolean;
}
