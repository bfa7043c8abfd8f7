function formatCell(value: unknown): string {
    if (value === undefined || value === null) return "-";
    return typeof value === "object" ? JSON.stringify(value) : String(value);
}

/** Formats rows as text columns with a header line. Missing values are shown as a dash. */
export function formatTable(columns: readonly string[], rows: readonly Readonly<Record<string, unknown>>[]): string {
    const cells = [columns, ...rows.map(row => columns.map(column => formatCell(row[column])))];
    const widths = columns.map((_, index) => Math.max(...cells.map(line => line[index]!.length)));
    return cells.map(line => line.map((cell, index) => cell.padEnd(widths[index]!)).join("  ").trimEnd()).join("\n") + "\n";
}
