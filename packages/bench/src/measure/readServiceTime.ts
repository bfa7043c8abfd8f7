/** Reads the service time in milliseconds that a statement of the measurement carries as its second word. */
export function readServiceTime(sql: string): number {
    return Number(sql.split(" ", 2)[1]);
}
