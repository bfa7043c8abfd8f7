/** One operation of a store transaction. */
export interface StoreWrite {
    /** `cas` writes if the key's version is `version` (0: absent); `create` if it is absent; `check` only compares the version (0: absent). */
    readonly kind: "cas" | "create" | "check";
    readonly key: string;
    readonly value?: string;
    readonly version?: number;
}
