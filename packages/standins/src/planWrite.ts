import { GroupOperation } from "./groupOperation";
import { GroupStatement } from "./groupStatement";
import { GroupTables } from "./groupTables";

type WriteStatement = GroupStatement & { kind: "insertOrder" | "insertStock" | "addStock" | "setStock"; };

interface WritePlan {
    readonly operations: readonly GroupOperation[];
    readonly affectedRows: number;
    readonly insertId: number;
}

const emptyPlan: WritePlan = { operations: [], affectedRows: 0, insertId: 0 };

function planInsertOrder(values: Readonly<Record<string, string | number | undefined>>, tables: GroupTables): WritePlan {
    const id = values["id"] === undefined ? tables.reserveOrderId() : Number(values["id"]);
    const operation: GroupOperation = {
        kind: "insertOrder",
        id,
        ref: String(values["ref"] ?? ""),
        franchisee: String(values["franchisee"] ?? ""),
        item: String(values["item"] ?? ""),
        quantity: Number(values["quantity"] ?? 0),
        note: values["note"] === undefined ? undefined : String(values["note"]),
    };
    return { operations: [operation], affectedRows: 1, insertId: id };
}

function findQuantity(item: string, tables: GroupTables, pending: readonly GroupOperation[]): number | undefined {
    let quantity = tables.findQuantity(item);
    for (const operation of pending) {
        if (operation.kind === "insertOrder" || operation.item !== item) continue;
        quantity = operation.kind === "setStock" ? operation.quantity : (quantity ?? 0) + operation.quantity;
    }
    return quantity;
}

/** Determines the operations of a write from the tables and the pending operations of its open transaction. */
export function planWrite(statement: WriteStatement, tables: GroupTables, pending: readonly GroupOperation[]): WritePlan {
    if (statement.kind === "insertOrder") return planInsertOrder(statement.values, tables);
    if (statement.kind === "insertStock") {
        const { item, quantity } = statement.values;
        return { operations: [{ kind: "setStock", item: String(item ?? ""), quantity: Number(quantity ?? 0) }], affectedRows: 1, insertId: 0 };
    }
    const quantity = findQuantity(statement.item, tables, pending);
    if (quantity === undefined) return emptyPlan;
    if (statement.kind === "addStock" && statement.atLeast !== undefined && quantity < statement.atLeast) return emptyPlan;
    return { operations: [{ kind: statement.kind, item: statement.item, quantity: statement.quantity }], affectedRows: 1, insertId: 0 };
}
