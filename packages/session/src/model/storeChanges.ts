import { StoreChange } from "./storeChange";
import { StorePosition } from "./storePosition";

/** Changes of one era in the order in which they were made, and the position from which to continue watching. */
export interface StoreChanges {
    readonly changes: readonly StoreChange[];
    readonly position: StorePosition;
}
