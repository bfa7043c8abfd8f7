/** An item as the stand-in of the store holds it. */
export interface StoredItem {
    readonly key: string;
    /** Base64 text. */
    readonly value: string;
    /** Revision of the last change. */
    readonly revision: number;
    /** Revision at which the key was created. */
    readonly created: number;
    /** Id of the lease that the item ends with; 0 for none. */
    readonly lease: number;
}
