/** A change of data as the log of a group stores it. Applying it needs no other input. */
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
