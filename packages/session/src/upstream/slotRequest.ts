import { Abandonment } from "../entry/abandonment";
import { SessionValues } from "../entry/sessionValues";
import { WorkClass } from "../model/workClass";

/** A request for a statement slot and, unless it continues a transaction, a connection of an upstream. */
export interface SlotRequest {
    readonly session: SessionValues;
    readonly workClass: WorkClass;
    /** Tenant whose connection is needed; undefined if the caller is not authenticated. */
    readonly tenant?: string;
    /** Whether the connection is kept for a transaction. */
    readonly opensTransaction?: boolean;
    /** Whether the caller has left; a request that has not been sent then fails with `Busy`. Undefined if work is not dropped for it. */
    readonly abandonment?: Abandonment;
    /** Local time in milliseconds at which the statement was received. */
    readonly receivedAt: number;
    /** Local time in milliseconds by which the response is due. A statement that would get its slot too late for it is refused at once. */
    readonly deadline: number;
    /** Local time in milliseconds after which the request fails although it was expected to get a slot. */
    readonly waitDeadline: number;
}
