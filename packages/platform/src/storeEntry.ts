/** A key of the store. */
export interface StoreEntry {
    readonly key: string;
    readonly value: string;
    /** The store's modify index of the key; rises with every write of it. */
    readonly version: number;
}
