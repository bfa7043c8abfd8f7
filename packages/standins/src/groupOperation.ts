/** A data change as stored in the log of a group. It is deterministic: applying it takes no input other than the tables. */
export type GroupOperation =
    | {
        readonly kind: "insertOrder";
        readonly id: number;
        readonly ref: string;
        readonly franchisee: string;
        readonly item: string;
        readonly quantity: number;
        readonly note?: string;
    }
    | { readonly kind: "addStock"; readonly item: string; readonly quantity: number; }
    | { readonly kind: "setStock"; readonly item: string; readonly quantity: number; };
