import { GroupOperation } from "./groupOperation";
import { OrderRow } from "./orderRow";

/** The tables of a stand-in: the append-only `orders`, and `stock`, with a quantity for each item. */
export class GroupTables {
    private readonly orders: OrderRow[] = [];
    private readonly ordersByRef = new Map<string, OrderRow[]>();
    private readonly ordersByFranchisee = new Map<string, OrderRow[]>();
    private readonly stock = new Map<string, number>();
    private lastOrderId = 0;

    private constructor(private readonly initialItemCount: number, private readonly initialQuantity: number) {
        this.reset();
    }

    /** Creates tables whose `stock` has the items `item1`, `item2` and so on. */
    public static create(initialItemCount: number, initialQuantity: number): GroupTables {
        return new GroupTables(initialItemCount, initialQuantity);
    }

    /** Restores the initial contents of the tables. */
    public reset(): void {
        this.orders.length = 0;
        this.ordersByRef.clear();
        this.ordersByFranchisee.clear();
        this.stock.clear();
        this.lastOrderId = 0;
        for (let index = 1; index <= this.initialItemCount; index++) this.stock.set(`item${index}`, this.initialQuantity);
    }

    /** Reserves the id of an order that is inserted later. Ids may have gaps, as in any database that generates ids. */
    public reserveOrderId(): number {
        return ++this.lastOrderId;
    }

    public apply(operation: GroupOperation): void {
        if (operation.kind === "insertOrder") this.insertOrder(operation);
        else if (operation.kind === "addStock") this.stock.set(operation.item, (this.stock.get(operation.item) ?? 0) + operation.quantity);
        else this.stock.set(operation.item, operation.quantity);
    }

    public findQuantity(item: string): number | undefined {
        return this.stock.get(item);
    }

    public get stockRows(): readonly (readonly [string, number])[] {
        return [...this.stock];
    }

    /** Returns the orders that have the given value in the column, oldest first; all orders if no column is given. */
    public findOrders(column?: "ref" | "franchisee", value = ""): readonly OrderRow[] {
        if (column === "ref") return this.ordersByRef.get(value) ?? [];
        if (column === "franchisee") return this.ordersByFranchisee.get(value) ?? [];
        return this.orders;
    }

    private insertOrder(row: OrderRow): void {
        this.lastOrderId = Math.max(this.lastOrderId, row.id);
        this.orders.push(row);
        this.addToIndex(this.ordersByRef, row.ref, row);
        this.addToIndex(this.ordersByFranchisee, row.franchisee, row);
    }

    private addToIndex(index: Map<string, OrderRow[]>, key: string, row: OrderRow): void {
        const rows = index.get(key);
        if (rows === undefined) index.set(key, [row]);
        else rows.push(row);
    }
}
