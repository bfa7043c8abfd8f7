import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { Diagnostics as RoutingDiagnostics } from "@vanillarouter/routing/diagnostics";
import { UpstreamAnswer } from "@vanillarouter/routing/group/upstreamAnswer";
import { UpstreamConnection } from "@vanillarouter/routing/group/upstreamConnection";
import { Err, Ok, Result } from "ts-results";
import { Diagnostics } from "./diagnostics";
import { MysqlClient } from "./mysqlClient";
import { parseLogPosition } from "./parseLogPosition";
import { QueryError } from "./queryError";

const positionColumn = "vr_at";
const beginning: LogPosition = { term: 0, position: 0 };

function formatPosition(at: LogPosition): string {
    return `${at.term}.${at.position}`;
}

/** One `mysql2` connection to an upstream, speaking the hints and answers of the database group interface. */
export class MysqlUpstreamConnection implements UpstreamConnection {
    private constructor(private readonly upstream: string, private readonly client: MysqlClient) {}

    public static create(upstream: string, client: MysqlClient): MysqlUpstreamConnection {
        return new MysqlUpstreamConnection(upstream, client);
    }

    public get isOpen(): boolean {
        return this.client.isOpen;
    }

    public *read(sql: string, floor: LogPosition | undefined): Operation<Result<UpstreamAnswer, Failure>> {
        const text = floor === undefined ? sql : `/*vr floor=${formatPosition(floor)}*/ ${sql}`;
        const result = yield* this.client.query(text);
        if (result.err) return Err(this.describeError(result.val, RunOutcome.Unknown, floor));
        return Ok(this.separatePosition(result.val, floor ?? beginning));
    }

    public *write(sql: string, term: number, requestId: string): Operation<Result<UpstreamAnswer, Failure>> {
        const result = yield* this.client.query(`/*vr term=${term} req=${requestId}*/ ${sql}`);
        return result.err ? this.resolveWriteError(result.val, term, requestId) : this.acceptWrite(result.val, sql);
    }

    public *begin(term: number): Operation<Result<void, Failure>> {
        const result = yield* this.client.query(`/*vr term=${term}*/ BEGIN`);
        return result.err ? Err(this.describeError(result.val, RunOutcome.DidNotRun, undefined, term)) : Ok(undefined);
    }

    /** A lost answer fails with DidNotRun: without this connection the transaction can never be committed. */
    public *executeInTransaction(sql: string): Operation<Result<UpstreamAnswer, Failure>> {
        const result = yield* this.client.query(sql);
        if (result.err) return Err(this.describeError(result.val, RunOutcome.DidNotRun));
        return Ok(this.separatePosition(result.val, beginning));
    }

    /** A refused COMMIT closes the connection: whether the upstream rolled the transaction back is not part of its interface. */
    public *commit(term: number, requestId: string): Operation<Result<UpstreamAnswer, Failure>> {
        const result = yield* this.client.query(`/*vr term=${term} req=${requestId}*/ COMMIT`);
        if (result.err) this.client.close();
        return result.err ? this.resolveWriteError(result.val, term, requestId) : this.acceptWrite(result.val, "COMMIT");
    }

    public *rollback(): Operation<Result<void, Failure>> {
        const result = yield* this.client.query("ROLLBACK");
        return result.err ? Err(this.describeError(result.val, RunOutcome.DidNotRun)) : Ok(undefined);
    }

    public *ping(): Operation<Result<void, Failure>> {
        const result = yield* this.client.ping();
        return result.err ? Err(this.describeError(result.val, RunOutcome.Unknown)) : Ok(undefined);
    }

    public close(): void {
        this.client.close();
    }

    private acceptWrite(result: StatementResult, sql: string): Result<UpstreamAnswer, Failure> {
        const match = /(?:^|\s)vr_at=(\S+)/.exec(result.info);
        const at = parseLogPosition(match?.[1] ?? "");
        if (at === undefined) return Err(createFailure(Diagnostics.answerMalformed, RunOutcome.Ran, this.upstream, sql.slice(0, 40)));
        const info = result.info.replace(match![0], "").trim();
        return Ok({ result: { ...result, info }, at, recordedBefore: false });
    }

    /** A rejection because the id is known carries the recorded outcome, which is the answer. */
    private resolveWriteError(err: QueryError, term: number, requestId: string): Result<UpstreamAnswer, Failure> {
        const known = err.rejected ? /^vr_known cancelled=([01]) at=(\S+) affected=(\d+) insert_id=(\d+)/.exec(err.message) : null;
        const at = parseLogPosition(known?.[2] ?? "");
        if (known === null || at === undefined) return Err(this.describeError(err, RunOutcome.Unknown, undefined, term));
        if (known[1] === "1") return Err(createFailure(RoutingDiagnostics.requestCancelled, RunOutcome.DidNotRun, requestId));
        const result: StatementResult = { columns: [], rows: [], affectedRows: Number(known[3]), insertId: Number(known[4]), info: "" };
        return Ok({ result, at, recordedBefore: true });
    }

    /** Takes the trailing position column off. Without a row the position is the one that was asked for. */
    private separatePosition(result: StatementResult, fallback: LogPosition): UpstreamAnswer {
        if (result.columns.at(-1)?.name !== positionColumn) return { result, at: fallback, recordedBefore: false };
        const at = parseLogPosition(result.rows[0]?.at(-1) ?? "") ?? fallback;
        const stripped = { ...result, columns: result.columns.slice(0, -1), rows: result.rows.map(row => row.slice(0, -1)) };
        return { result: stripped, at, recordedBefore: false };
    }

    private describeError(err: QueryError, lostOutcome: RunOutcome, floor?: LogPosition, term = 0): Failure {
        if (!err.handedOver) return createFailure(Diagnostics.connectionClosed, RunOutcome.DidNotRun, this.upstream);
        if (!err.rejected) return createFailure(RoutingDiagnostics.connectionLost, lostOutcome, this.upstream, err.message);
        if (err.message.startsWith("vr_term")) return createFailure(RoutingDiagnostics.termReplaced, RunOutcome.DidNotRun, this.upstream, term);
        if (err.message.startsWith("vr_floor")) return this.describeFloorError(err, floor ?? beginning);
        const failure = createFailure(RoutingDiagnostics.statementRejected, RunOutcome.DidNotRun, this.upstream, err.message);
        return { ...failure, details: { errno: err.errno, message: err.message } };
    }

    private describeFloorError(err: QueryError, floor: LogPosition): Failure {
        const failure = createFailure(RoutingDiagnostics.floorNotApplied, RunOutcome.DidNotRun, this.upstream, formatPosition(floor));
        const applied = parseLogPosition(/applied=(\S+)/.exec(err.message)?.[1] ?? "");
        return { ...failure, details: { applied } };
    }
}
