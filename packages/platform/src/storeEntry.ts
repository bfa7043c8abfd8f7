/** A key of the store with its value. */
export interface StoreEntry {
    readonly key: string;
    readonly value: string;
    /** The store's modify index of the key, which increases with every write of the key. */
    readonly version: number;
}
