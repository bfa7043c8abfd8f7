import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { Diagnostics as RoutingDiagnostics } from "@vanillarouter/routing/diagnostics";
import { UpstreamConnection } from "@vanillarouter/routing/group/upstreamConnection";
import { UpstreamResponse } from "@vanillarouter/routing/group/upstreamResponse";
import { Err, Ok, Result } from "ts-results";
import { Diagnostics } from "./diagnostics";
import { MysqlClient } from "./mysqlClient";
import { parseLogPosition } from "./parseLogPosition";
import { QueryError } from "./queryError";

const positionColumn = "vr_at";
const initialPosition: LogPosition = { term: 0, position: 0 };

function formatPosition(at: LogPosition): string {
    return `${at.term}.${at.position}`;
}

/** Connection to an upstream that encodes the hints and decodes the responses of the database group interface. */
export class MysqlUpstreamConnection implements UpstreamConnection {
    private constructor(private readonly upstream: string, private readonly client: MysqlClient) {}

    public static create(upstream: string, client: MysqlClient): MysqlUpstreamConnection {
        return new MysqlUpstreamConnection(upstream, client);
    }

    public get isOpen(): boolean {
        return this.client.isOpen;
    }

    public *read(sql: string, floor: LogPosition | undefined): Operation<Result<UpstreamResponse, Failure>> {
        const text = floor === undefined ? sql : `/*vr floor=${formatPosition(floor)}*/ ${sql}`;
        const result = yield* this.client.query(text);
        if (result.err) return Err(this.createQueryFailure(result.val, RunOutcome.Unknown, floor));
        return Ok(this.extractPosition(result.val, floor ?? initialPosition));
    }

    public *write(sql: string, term: number, requestId: string): Operation<Result<UpstreamResponse, Failure>> {
        const result = yield* this.client.query(`/*vr term=${term} req=${requestId}*/ ${sql}`);
        return result.err ? this.resolveWriteError(result.val, term, requestId) : this.parseWriteResult(result.val, sql);
    }

    public *begin(term: number): Operation<Result<void, Failure>> {
        const result = yield* this.client.query(`/*vr term=${term}*/ BEGIN`);
        return result.err ? Err(this.createQueryFailure(result.val, RunOutcome.DidNotRun, undefined, term)) : Ok(undefined);
    }

    /** If the response is lost, the outcome is DidNotRun: without this connection the transaction can never be committed. */
    public *executeInTransaction(sql: string): Operation<Result<UpstreamResponse, Failure>> {
        const result = yield* this.client.query(sql);
        if (result.err) return Err(this.createQueryFailure(result.val, RunOutcome.DidNotRun));
        return Ok(this.extractPosition(result.val, initialPosition));
    }

    /** A failed COMMIT closes the connection, because the interface does not specify whether the upstream rolled the transaction back. */
    public *commit(term: number, requestId: string): Operation<Result<UpstreamResponse, Failure>> {
        const result = yield* this.client.query(`/*vr term=${term} req=${requestId}*/ COMMIT`);
        if (result.err) this.client.close();
        return result.err ? this.resolveWriteError(result.val, term, requestId) : this.parseWriteResult(result.val, "COMMIT");
    }

    public *rollback(): Operation<Result<void, Failure>> {
        const result = yield* this.client.query("ROLLBACK");
        return result.err ? Err(this.createQueryFailure(result.val, RunOutcome.DidNotRun)) : Ok(undefined);
    }

    public *ping(): Operation<Result<void, Failure>> {
        const result = yield* this.client.ping();
        return result.err ? Err(this.createQueryFailure(result.val, RunOutcome.Unknown)) : Ok(undefined);
    }

    public close(): void {
        this.client.close();
    }

    private parseWriteResult(result: StatementResult, sql: string): Result<UpstreamResponse, Failure> {
        const match = /(?:^|\s)vr_at=(\S+)/.exec(result.info);
        const at = parseLogPosition(match?.[1] ?? "");
        if (at === undefined) return Err(createFailure(Diagnostics.responseMalformed, RunOutcome.Ran, this.upstream, sql.slice(0, 40)));
        const info = result.info.replace(match![0], "").trim();
        return Ok({ result: { ...result, info }, at, recordedBefore: false });
    }

    /** If the upstream already knows the request id, its rejection contains the recorded outcome, which is returned as the response. */
    private resolveWriteError(err: QueryError, term: number, requestId: string): Result<UpstreamResponse, Failure> {
        const recorded = err.rejected ? /^vr_known cancelled=([01]) at=(\S+) affected=(\d+) insert_id=(\d+)/.exec(err.message) : null;
        const at = parseLogPosition(recorded?.[2] ?? "");
        if (recorded === null || at === undefined) return Err(this.createQueryFailure(err, RunOutcome.Unknown, undefined, term));
        if (recorded[1] === "1") return Err(createFailure(RoutingDiagnostics.requestCancelled, RunOutcome.DidNotRun, requestId));
        const result: StatementResult = { columns: [], rows: [], affectedRows: Number(recorded[3]), insertId: Number(recorded[4]), info: "" };
        return Ok({ result, at, recordedBefore: true });
    }

    /** Moves the position from the trailing column into the response. A result without that column or without rows gets the fallback position. */
    private extractPosition(result: StatementResult, fallback: LogPosition): UpstreamResponse {
        if (result.columns.at(-1)?.name !== positionColumn) return { result, at: fallback, recordedBefore: false };
        const at = parseLogPosition(result.rows[0]?.at(-1) ?? "") ?? fallback;
        const stripped = { ...result, columns: result.columns.slice(0, -1), rows: result.rows.map(row => row.slice(0, -1)) };
        return { result: stripped, at, recordedBefore: false };
    }

    private createQueryFailure(err: QueryError, outcomeIfLost: RunOutcome, floor?: LogPosition, term = 0): Failure {
        if (!err.mayHaveBeenSent) return createFailure(Diagnostics.connectionClosed, RunOutcome.DidNotRun, this.upstream);
        if (!err.rejected) return createFailure(RoutingDiagnostics.connectionLost, outcomeIfLost, this.upstream, err.message);
        if (err.message.startsWith("vr_term")) return createFailure(RoutingDiagnostics.termReplaced, RunOutcome.DidNotRun, this.upstream, term);
        if (err.message.startsWith("vr_floor")) return this.createFloorFailure(err, floor ?? initialPosition);
        const failure = createFailure(RoutingDiagnostics.statementRejected, RunOutcome.DidNotRun, this.upstream, err.message);
        return { ...failure, details: { errno: err.errno, message: err.message } };
    }

    private createFloorFailure(err: QueryError, floor: LogPosition): Failure {
        const failure = createFailure(RoutingDiagnostics.floorNotApplied, RunOutcome.DidNotRun, this.upstream, formatPosition(floor));
        const applied = parseLogPosition(/applied=(\S+)/.exec(err.message)?.[1] ?? "");
        return { ...failure, details: { applied } };
    }
}
