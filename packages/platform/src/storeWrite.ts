/** One operation of a store transaction. */
export interface StoreWrite {
    /** `cas` writes if the key has the given version; `create` writes if the key is absent; `check` only compares the version. Version 0 means absent. */
    readonly kind: "cas" | "create" | "check";
    readonly key: string;
    readonly value?: string;
    readonly version?: number;
}
