/** A row of the table `orders`. */
export interface OrderRow {
    readonly id: number;
    readonly ref: string;
    readonly franchisee: string;
    readonly item: string;
    readonly quantity: number;
    /** Absent for SQL NULL. */
    readonly note?: string;
}
