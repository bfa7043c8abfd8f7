import { Clock } from "@vanillarouter/base/clock";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { Signal } from "@vanillarouter/base/signal";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { UpstreamSettings } from "@vanillarouter/base/upstreamSettings";
import { withTimeout } from "@vanillarouter/base/withTimeout";
import { TermResponse } from "@vanillarouter/routing/group/termResponse";
import { UpstreamControl } from "@vanillarouter/routing/group/upstreamControl";
import { UpstreamStatus } from "@vanillarouter/routing/group/upstreamStatus";
import { RecordedOutcome } from "@vanillarouter/routing/outcomes/recordedOutcome";
import { Err, Ok, Result } from "ts-results";
import { ControlConnection } from "./controlConnection";
import { Diagnostics } from "./diagnostics";
import { LogEntryWaiters } from "./logEntryWaiters";
import { parseStatusRow } from "./parseStatusRow";
import { UpstreamCredentials } from "./upstreamCredentials";

function quoteSqlString(text: string): string {
    return `'${text.replace(/[\\']/g, "\\$&")}'`;
}

/**
 * Controls an upstream by calling its `vr_...` procedures. Waits for log entries use a separate connection, so that they do
 * not delay status calls and elections. Each connection is opened on first use.
 */
export class MysqlUpstreamControl implements UpstreamControl {
    public readonly upstream: string;
    private readonly connection: ControlConnection;
    private readonly logEntryWaiters: LogEntryWaiters;

    private constructor(settings: UpstreamSettings, credentials: UpstreamCredentials, private readonly clock: Clock) {
        this.upstream = settings.id;
        this.connection = ControlConnection.create(settings, credentials, clock);
        this.logEntryWaiters = LogEntryWaiters.create(settings.id, ControlConnection.create(settings, credentials, clock));
    }

    public static create(settings: UpstreamSettings, credentials: UpstreamCredentials, clock: Clock): MysqlUpstreamControl {
        return new MysqlUpstreamControl(settings, credentials, clock);
    }

    public get disconnected(): Signal<void> {
        return this.connection.disconnected;
    }

    public readStatus(timeoutMs: number): Operation<Result<UpstreamStatus, Failure>> {
        return this.callForStatus("CALL vr_status()", timeoutMs);
    }

    public *acceptTerm(term: number, timeoutMs: number): Operation<Result<TermResponse, Failure>> {
        const result = yield* this.connection.call(`CALL vr_accept_term(${term})`, timeoutMs);
        if (result.err) return result;
        const [accepted, acceptedTerm, receivedTerm, position] = (result.val.rows[0] ?? []).map(Number);
        if (accepted === undefined || position === undefined) return Err(this.createMalformedFailure("vr_accept_term"));
        return Ok({ accepted: accepted === 1, acceptedTerm: acceptedTerm!, received: { term: receivedTerm!, position } });
    }

    public promote(term: number, timeoutMs: number): Operation<Result<UpstreamStatus, Failure>> {
        return this.callForStatus(`CALL vr_promote(${term})`, timeoutMs);
    }

    public follow(term: number, primary: string, timeoutMs: number): Operation<Result<UpstreamStatus, Failure>> {
        return this.callForStatus(`CALL vr_follow(${term}, ${quoteSqlString(primary)})`, timeoutMs);
    }

    public *waitForLogEntry(entry: LogPosition, timeoutMs: number): Operation<Result<UpstreamStatus, Failure>> {
        const result = yield* withTimeout(this.clock, timeoutMs, this.logEntryWaiters.waitForEntry(entry));
        return result ?? Err(createFailure(Diagnostics.callTimedOut, RunOutcome.Unknown, this.upstream, "vr_wait_received", timeoutMs));
    }

    public *lookUp(requestId: string, timeoutMs: number): Operation<Result<RecordedOutcome | undefined, Failure>> {
        const result = yield* this.connection.call(`CALL vr_lookup(${quoteSqlString(requestId)})`, timeoutMs);
        if (result.err) return result;
        return Ok(this.parseOutcome(result.val));
    }

    public *cancel(requestId: string, term: number, timeoutMs: number): Operation<Result<RecordedOutcome, Failure>> {
        const result = yield* this.connection.call(`/*vr term=${term}*/ CALL vr_cancel(${quoteSqlString(requestId)})`, timeoutMs);
        if (result.err) return result;
        const outcome = this.parseOutcome(result.val);
        return outcome === undefined ? Err(this.createMalformedFailure("vr_cancel")) : Ok(outcome);
    }

    public close(): void {
        this.connection.close();
        this.logEntryWaiters.close();
    }

    private *callForStatus(sql: string, timeoutMs: number): Operation<Result<UpstreamStatus, Failure>> {
        const result = yield* this.connection.call(sql, timeoutMs);
        if (result.err) return result;
        const status = parseStatusRow(result.val);
        return status === undefined ? Err(this.createMalformedFailure(sql)) : Ok(status);
    }

    private parseOutcome(result: StatementResult): RecordedOutcome | undefined {
        const row = result.rows[0];
        if (row === undefined) return undefined;
        const [cancelled, term, position, affectedRows, insertId] = row.map(Number);
        return { cancelled: cancelled === 1, at: { term: term!, position: position! }, affectedRows: affectedRows!, insertId: insertId! };
    }

    private createMalformedFailure(call: string): Failure {
        return createFailure(Diagnostics.responseMalformed, RunOutcome.Unknown, this.upstream, call);
    }
}
