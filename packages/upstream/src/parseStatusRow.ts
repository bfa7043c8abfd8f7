import { StatementResult } from "@vanillarouter/base/statementResult";
import { UpstreamStatus } from "@vanillarouter/routing/group/upstreamStatus";

/** Parses the row of `CALL vr_status()` by column names. Returns undefined if a required column is missing or not a number. */
export function parseStatusRow(result: StatementResult): UpstreamStatus | undefined {
    const row = result.rows[0];
    if (row === undefined) return undefined;
    const values = new Map(result.columns.map((column, index) => [column.name, row[index]]));
    const parseNumber = (name: string): number => Number(values.get(name) ?? Number.NaN);
    const upstream = values.get("upstream");
    const status = {
        isPrimary: values.get("role") === "primary",
        acceptedTerm: parseNumber("accepted_term"),
        received: { term: parseNumber("received_term"), position: parseNumber("received_position") },
        applied: { term: parseNumber("applied_term"), position: parseNumber("applied_position") },
        primary: values.get("primary_id"),
        primarySilenceMs: parseNumber("primary_silence_ms"),
        leaving: values.get("leaving") === "1",
    };
    const numbers = [status.acceptedTerm, status.primarySilenceMs, ...Object.values(status.received), ...Object.values(status.applied)];
    return upstream === undefined || numbers.some(Number.isNaN) ? undefined : { upstream, ...status };
}
