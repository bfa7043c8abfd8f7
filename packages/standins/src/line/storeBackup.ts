import { StoredItem } from "./storedItem";

/** What the stand-in of the store held at one moment. */
export interface StoreBackup {
    readonly revision: number;
    /** Id of the last lease. */
    readonly lease: number;
    readonly items: readonly StoredItem[];
    readonly leases: readonly number[];
}
