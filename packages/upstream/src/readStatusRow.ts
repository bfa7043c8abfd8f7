import { StatementResult } from "@vanillarouter/base/statementResult";
import { UpstreamStatus } from "@vanillarouter/routing/group/upstreamStatus";

/** Reads the row of `CALL vr_status()` by column names. Returns undefined if a column is missing or no number. */
export function readStatusRow(result: StatementResult): UpstreamStatus | undefined {
    const row = result.rows[0];
    if (row === undefined) return undefined;
    const values = new Map(result.columns.map((column, index) => [column.name, row[index]]));
    const readNumber = (name: string): number => Number(values.get(name) ?? Number.NaN);
    const upstream = values.get("upstream");
    const status = {
        isPrimary: values.get("role") === "primary",
        acceptedTerm: readNumber("accepted_term"),
        received: { term: readNumber("received_term"), position: readNumber("received_position") },
        applied: { term: readNumber("applied_term"), position: readNumber("applied_position") },
        primary: values.get("primary_id"),
        primarySilenceMs: readNumber("primary_silence_ms"),
        leaving: values.get("leaving") === "1",
    };
    const numbers = [status.acceptedTerm, status.primarySilenceMs, ...Object.values(status.received), ...Object.values(status.applied)];
    return upstream === undefined || numbers.some(Number.isNaN) ? undefined : { upstream, ...status };
}
