/** A value in a statement; undefined for SQL NULL. */
type Value = string | number | undefined;

/** A parsed statement that a stand-in supports. */
export type GroupStatement =
    | { readonly kind: "insertOrder"; readonly values: Readonly<Record<string, Value>>; }
    | { readonly kind: "insertStock"; readonly values: Readonly<Record<string, Value>>; }
    | { readonly kind: "addStock"; readonly item: string; readonly quantity: number; readonly atLeast?: number; }
    | { readonly kind: "setStock"; readonly item: string; readonly quantity: number; }
    | {
        readonly kind: "select";
        readonly table: "orders" | "stock";
        readonly columns: readonly string[];
        readonly count: boolean;
        readonly where?: { readonly column: string; readonly value: Value; };
        readonly descending: boolean;
        readonly limit?: number;
    }
    | { readonly kind: "constant"; readonly value: Value; }
    | { readonly kind: "begin"; }
    | { readonly kind: "commit"; }
    | { readonly kind: "rollback"; }
    | { readonly kind: "call"; readonly name: string; readonly args: readonly Value[]; };
