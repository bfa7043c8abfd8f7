/** A change of one item in the platform's key-value store. */
export interface StoreChange {
    readonly key: string;
    /** The item's new value; undefined if the item was removed. */
    readonly text: string | undefined;
    /** The store's revision number of the change, within the era in which it was read. */
    readonly revision: number;
}
