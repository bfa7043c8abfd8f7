import { GroupStatement } from "./groupStatement";
import { StatementHint } from "./statementHint";

/** The text of a statement, its hint and, if the stand-in supports it, its parsed form. */
interface ParsedStatement {
    readonly hint: StatementHint;
    readonly sql: string;
    readonly statement?: GroupStatement;
}

const hintPattern = /^\s*\/\*vr\s+([^*]*)\*\//;
const literalPattern = String.raw`(NULL|-?\d+|'(?:[^'\\]|\\.|'')*')`;
const insertPattern = /^INSERT\s+INTO\s+(orders|stock)\s*\(([^)]*)\)\s*VALUES\s*\((.*)\)$/is;
const addPattern = new RegExp(
    String.raw`^UPDATE\s+stock\s+SET\s+quantity\s*=\s*quantity\s*([+-])\s*(\d+)\s+WHERE\s+item\s*=\s*${literalPattern}(?:\s+AND\s+quantity\s*>=\s*(\d+))?$`,
    "is",
);
const setPattern = new RegExp(String.raw`^UPDATE\s+stock\s+SET\s+quantity\s*=\s*(-?\d+)\s+WHERE\s+item\s*=\s*${literalPattern}$`, "is");
const selectPattern = new RegExp(
    String.raw`^SELECT\s+(.+?)\s+FROM\s+(orders|stock)(?:\s+WHERE\s+(\w+)\s*=\s*${literalPattern})?(?:\s+ORDER\s+BY\s+id(\s+DESC)?)?(?:\s+LIMIT\s+(\d+))?$`,
    "is",
);
const constantPattern = new RegExp(String.raw`^SELECT\s+${literalPattern}$`, "is");
const callPattern = /^CALL\s+(vr_\w+)\s*\((.*)\)$/is;
const columnsByTable = { orders: ["id", "ref", "franchisee", "item", "quantity", "note"], stock: ["item", "quantity"] } as const;

function parseLiteral(text: string): string | number | undefined {
    if (text.toUpperCase() === "NULL") return undefined;
    if (!text.startsWith("'")) return Number(text);
    return text.slice(1, -1).replace(/\\(.)|''/gs, (pair: string, escaped?: string) => escaped ?? pair.slice(1));
}

function parseLiterals(text: string): (string | number | undefined)[] | undefined {
    const values: (string | number | undefined)[] = [];
    const rest = text.replace(new RegExp(String.raw`\s*${literalPattern}\s*(,|$)`, "gis"), (_match, value: string) => {
        values.push(parseLiteral(value));
        return "";
    });
    return rest.trim() === "" ? values : undefined;
}

function parseInsert(match: RegExpMatchArray): GroupStatement | undefined {
    const names = match[2]!.split(",").map(name => name.trim().toLowerCase());
    const values = parseLiterals(match[3]!);
    const table = match[1]!.toLowerCase() as "orders" | "stock";
    const tableColumns: readonly string[] = columnsByTable[table];
    if (values?.length !== names.length || names.some(name => !tableColumns.includes(name))) return undefined;
    return { kind: table === "orders" ? "insertOrder" : "insertStock", values: Object.fromEntries(names.map((name, index) => [name, values[index]])) };
}

function parseSelect(match: RegExpMatchArray): GroupStatement | undefined {
    const table = match[2]!.toLowerCase() as "orders" | "stock";
    const tableColumns: readonly string[] = columnsByTable[table];
    const count = /^COUNT\(\*\)(\s+AS\s+\w+)?$/i.test(match[1]!);
    const columnNames = match[1]!.split(",").map(name => name.trim().toLowerCase());
    const columns = count || match[1] === "*" ? tableColumns : columnNames;
    const whereColumn = match[3]?.toLowerCase();
    if (columns.some(name => !tableColumns.includes(name))) return undefined;
    if (whereColumn !== undefined && !["ref", "franchisee", "item"].includes(whereColumn)) return undefined;
    return {
        kind: "select",
        table,
        columns,
        count,
        where: whereColumn === undefined ? undefined : { column: whereColumn, value: parseLiteral(match[4]!) },
        descending: match[5] !== undefined,
        limit: match[6] === undefined ? undefined : Number(match[6]),
    };
}

function parseUpdate(sql: string): GroupStatement | undefined {
    const add = addPattern.exec(sql);
    if (add !== null) {
        const quantity = Number(add[2]) * (add[1] === "-" ? -1 : 1);
        return { kind: "addStock", item: String(parseLiteral(add[3]!)), quantity, atLeast: add[4] === undefined ? undefined : Number(add[4]) };
    }
    const set = setPattern.exec(sql);
    return set === null ? undefined : { kind: "setStock", item: String(parseLiteral(set[2]!)), quantity: Number(set[1]) };
}

function parseCall(match: RegExpMatchArray): GroupStatement | undefined {
    const args = parseLiterals(match[2]!);
    return args === undefined ? undefined : { kind: "call", name: match[1]!.toLowerCase(), args };
}

function parseStatement(sql: string): GroupStatement | undefined {
    if (/^(BEGIN|START\s+TRANSACTION)$/i.test(sql)) return { kind: "begin" };
    if (/^COMMIT$/i.test(sql)) return { kind: "commit" };
    if (/^ROLLBACK$/i.test(sql)) return { kind: "rollback" };
    const call = callPattern.exec(sql);
    if (call !== null) return parseCall(call);
    const insert = insertPattern.exec(sql);
    if (insert !== null) return parseInsert(insert);
    const constant = constantPattern.exec(sql);
    if (constant !== null) return { kind: "constant", value: parseLiteral(constant[1]!) };
    const select = selectPattern.exec(sql);
    return select === null ? parseUpdate(sql) : parseSelect(select);
}

function parseHint(text: string): StatementHint {
    const fields = new Map<string, string>();
    for (const field of text.trim().split(/\s+/)) {
        const [name, value] = field.split("=", 2);
        if (name !== undefined && value !== undefined) fields.set(name, value);
    }
    const floor = /^(\d+)\.(\d+)$/.exec(fields.get("floor") ?? "");
    return {
        term: fields.get("term") === undefined ? undefined : Number(fields.get("term")),
        requestId: fields.get("req"),
        floor: floor === null ? undefined : { term: Number(floor[1]), position: Number(floor[2]) },
    };
}

/** Separates the hint from the text of a statement and parses the text. Other leading comments stay in `sql`, but are not parsed. */
export function parseGroupStatement(text: string): ParsedStatement {
    const match = hintPattern.exec(text);
    const rest = match === null ? text : text.slice(match[0].length);
    const sql = rest.replace(/^(\s*\/\*.*?\*\/)+/s, "").trim().replace(/;$/, "").trim();
    return { hint: match === null ? {} : parseHint(match[1]!), sql: rest.trim(), statement: parseStatement(sql) };
}
