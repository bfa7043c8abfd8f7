import { GroupOperation } from "./groupOperation";
import { GroupStatement } from "./groupStatement";
import { GroupTables } from "./groupTables";
import { OrderRow } from "./orderRow";

type SelectStatement = GroupStatement & { kind: "select"; };
type Row = Readonly<Record<string, string | number | undefined>>;

function findOrders(statement: SelectStatement, tables: GroupTables, pending: readonly GroupOperation[]): readonly Row[] {
    const where = statement.where;
    const pendingOrders = pending.filter((operation): operation is GroupOperation & OrderRow => operation.kind === "insertOrder");
    const value = where?.value === undefined ? undefined : String(where.value);
    const column = where?.column as "ref" | "franchisee" | "item" | undefined;
    if (column === undefined) return [...tables.findOrders(), ...pendingOrders] as unknown as readonly Row[];
    const stored = column === "item" ? tables.findOrders().filter(row => row.item === value) : tables.findOrders(column, value);
    return [...stored, ...pendingOrders.filter(row => row[column] === value)] as unknown as readonly Row[];
}

function findStock(statement: SelectStatement, tables: GroupTables, pending: readonly GroupOperation[]): readonly Row[] {
    const applyPending = (item: string, start: number): number =>
        pending.reduce((sum, operation) => {
            if (operation.kind === "insertOrder" || operation.item !== item) return sum;
            return operation.kind === "setStock" ? operation.quantity : sum + operation.quantity;
        }, start);
    if (statement.where === undefined) return tables.stockRows.map(([item, quantity]) => ({ item, quantity: applyPending(item, quantity) }));
    const item = String(statement.where.value);
    const quantity = tables.findQuantity(item);
    return quantity === undefined ? [] : [{ item, quantity: applyPending(item, quantity) }];
}

/** Executes a SELECT on the tables and the pending operations of its open transaction. */
export function selectRows(
    statement: SelectStatement,
    tables: GroupTables,
    pending: readonly GroupOperation[],
): { readonly columns: readonly string[]; readonly rows: readonly (readonly (string | number | undefined)[])[]; } {
    const found = statement.table === "orders" ? findOrders(statement, tables, pending) : findStock(statement, tables, pending);
    if (statement.count) return { columns: ["COUNT(*)"], rows: [[found.length]] };
    const ordered = statement.descending ? [...found].reverse() : found;
    const limited = ordered.slice(0, statement.limit ?? ordered.length);
    return { columns: statement.columns, rows: limited.map(row => statement.columns.map(name => row[name])) };
}
